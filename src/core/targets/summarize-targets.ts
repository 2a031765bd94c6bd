import type {ServiceSummary} from './service-summary.ts';
import type {TargetRecord} from './target-record.ts';

/** Milliseconds per token, or per call, assumed for a target with no estimate. */
const defaultTokenMs = 30;

/** Summarizes the serving targets of one service, without ejected ones, for other regions. */
export function summarizeTargets(targets: readonly TargetRecord[]): ServiceSummary {
	const {firm, deployment, service} = targets[0]!.announcement;
	const usable = targets.filter(target => !target.ejected);
	return {
		firm,
		deployment,
		service,
		models: [...new Set(usable.flatMap(target => target.announcement.models))],
		targets: usable.length,
		capacity: sum(usable, target => target.announcement.capacity),
		running: sum(usable, target => Math.min(target.announcement.capacity, target.inFlight + target.othersInFlight)),
		queued: sum(usable, target => Math.max(0, target.inFlight + target.othersInFlight - target.announcement.capacity)),
		typicalMs: expectedTypicalMs(usable),
	};
}

function typicalMs(target: TargetRecord): number {
	if (target.announcement.kind === 'service') {
		return target.callMs ?? defaultTokenMs;
	}

	const {tokensPerSecond} = target.announcement;
	return target.tokenMs ?? (tokensPerSecond ? 1000 / tokensPerSecond : defaultTokenMs);
}

function sum(targets: readonly TargetRecord[], of: (target: TargetRecord) => number): number {
	let total = 0;
	for (const target of targets) {
		total += of(target);
	}

	return total;
}

/** Harmonic mean of the typical times over the free slots, which the next requests get, or over all slots if none is free. */
function expectedTypicalMs(targets: readonly TargetRecord[]): number {
	const free = (target: TargetRecord) => Math.max(0, target.announcement.capacity - target.inFlight - target.othersInFlight);
	const anyFree = targets.some(target => free(target) > 0);
	const slots = (target: TargetRecord) => anyFree ? free(target) : target.announcement.capacity;
	const rate = sum(targets, target => slots(target) / typicalMs(target));
	return rate > 0 ? sum(targets, slots) / rate : defaultTokenMs;
}
