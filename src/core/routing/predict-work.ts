import type {RequestInfo} from '../settings/request-info.ts';
import type {TargetView} from '../targets/target-view.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** How much longer a token takes in a full batch than alone, as a share of the time alone. */
const fullBatchSlowdown = 1;

/** Predicts the times of a request at a target from its load, its learnt speed and the uncached part of the prompt. */
export function predictWork(target: TargetView, options: {
	req: RequestInfo;
	typical: TypicalSpeed;
	cachedTokens: number;
	/** False if the request could not start there at once. */
	hasRoom: boolean;
	/** Requests of this entry that wait for a target too. */
	waiting: number;
}): {firstByteMs: number; wholeMs: number} {
	const {req, typical, cachedTokens, hasRoom, waiting} = options;
	const capacity = Math.max(1, target.announcement.capacity);
	const load = target.inFlight + target.othersInFlight;
	if (req.kind === 'call') {
		const callMs = target.callMs ?? typical.callMs;
		const whole = callMs + waitMs(target, {
			taskMs: callMs, load, hasRoom, waiting,
		});
		return {firstByteMs: whole, wholeMs: whole};
	}

	const slowdown = 1 + (fullBatchSlowdown * Math.min(1, (load + 1) / capacity));
	const tokenMs = (target.tokenMs ?? announcedTokenMs(target) ?? typical.tokenMs) * slowdown;
	const prefillTokenMs = target.prefillTokenMs ?? announcedPrefillMs(target) ?? typical.prefillTokenMs;
	const prefillMs = (req.promptTokens - cachedTokens) * prefillTokenMs;
	const meanTokens = target.inFlight > 0 ? target.inFlightTokens / target.inFlight : req.outputTokens;
	const taskMs = prefillMs + (meanTokens * tokenMs);
	const startMs = waitMs(target, {
		taskMs, load, hasRoom, waiting,
	}) + prefillMs;
	const wholeMs = startMs + (req.outputTokens * tokenMs);
	return {firstByteMs: req.streamed ? startMs + tokenMs : wholeMs, wholeMs};
}

/** Time until a slot is free: at the target's own queue, or here if the request may not be sent yet. */
function waitMs(target: TargetView, options: {taskMs: number; load: number; hasRoom: boolean; waiting: number}): number {
	const {taskMs, load, hasRoom, waiting} = options;
	const capacity = Math.max(1, target.announcement.capacity);
	const atTarget = Math.max(0, load + 1 - capacity) * taskMs / capacity;
	if (hasRoom) {
		return atTarget;
	}

	return Math.max(atTarget, (waiting + 1) * taskMs / Math.max(1, target.inFlight));
}

function announcedTokenMs(target: TargetView): number | undefined {
	const {tokensPerSecond} = target.announcement;
	return tokensPerSecond ? 1000 / tokensPerSecond : undefined;
}

function announcedPrefillMs(target: TargetView): number | undefined {
	const {prefillTokensPerSecond} = target.announcement;
	return prefillTokensPerSecond ? 1000 / prefillTokensPerSecond : undefined;
}
