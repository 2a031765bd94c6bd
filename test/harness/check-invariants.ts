import type {RunLogLine} from '../fakes/run-log-line.ts';
import type {CallRecord} from './call-record.ts';
import {groupBy} from './group-by.ts';
import type {RunState} from './run-state.ts';

/** Maximum number of runs that the attempts for one sending of a request may cause. */
const maxRunsPerSending = 3;

/** Checks the invariants that hold in every run, whatever faults were injected; returns a message for each violation. */
export function checkInvariants(state: RunState): string[] {
	const starts = state.launcher.runLog().filter(({event}) => event === 'start');
	const byDigest = groupBy(starts, ({digest}) => digest!);
	const services = new Set(state.launcher.spec.targets.filter(({kind}) => kind === 'service').map(({service}) => service));
	return [
		...duplicateRuns(starts.filter(({key, service, path}) => key !== undefined && services.has(service) && path === '/orders')),
		...state.records.filter(({outcome}) => outcome === 'wrong' || outcome === 'hung').map(record => `${record.outcome} answer: ${describe(record)}`),
		...state.records.flatMap(record => findFalseRefusal(record, state.records, byDigest.get(record.digest) ?? [])),
		...residencyViolations(state.records, byDigest),
		...narrowingViolations(state, starts),
		...excessiveRuns(state.records, byDigest),
		...state.monitor.reversions(),
	];
}

function duplicateRuns(starts: readonly RunLogLine[]): string[] {
	return [...groupBy(starts, ({key}) => key!)]
		.filter(([, runs]) => runs.length > 1)
		.map(([key, runs]) => `at most once: ${key} ran at ${runs.map(({target, attempt, at}) => `${target} (${attempt}, ${at})`).join(' and ')}`);
}

/**
 * Checks the invariant that reports call `true refusal`: a refusal with `ran: no` is false if a target received this sending, or, for a request with an idempotency key, an earlier one.
 * Times of callers and targets are compared directly, since all processes share the clock of one machine.
 */
function findFalseRefusal(record: CallRecord, records: readonly CallRecord[], starts: readonly RunLogLine[]): string[] {
	if (record.ran !== 'no') {
		return [];
	}

	const from = record.key === undefined ? record.sentAt : 0;
	const next = records.find(other => other.digest === record.digest && other.sentAt > record.sentAt)?.sentAt ?? Infinity;
	const run = starts.find(({at}) => at >= from && at < next);
	return run ? [`true refusal: ${describe(record)} says "not run", ${run.target} received it ${run.at - record.sentAt} ms after it was sent (attempt ${run.attempt})`] : [];
}

function residencyViolations(records: readonly CallRecord[], starts: ReadonlyMap<string, readonly RunLogLine[]>): string[] {
	return records.filter(({organisation}) => !organisation.endsWith('-home')).flatMap(record => (starts.get(record.digest) ?? [])
		.filter(({region}) => region !== record.region)
		.map(({target}) => `residency: ${describe(record)} is bound to ${record.region} and ran at ${target}`));
}

/** Once all nodes of a region hold a revision that excludes the region for a service, no request of the service may start there. */
function narrowingViolations({launcher, monitor, narrowings}: RunState, starts: readonly RunLogLine[]): string[] {
	return narrowings.flatMap(({revision, service, regions}) => starts.filter(start => {
		const nodes = launcher.spec.nodes.filter(({region}) => region === start.region);
		return start.service === service && !regions.includes(start.region)
			&& nodes.every(({node}) => monitor.firstSeenAt(node, revision) < start.at);
	}).map(({target, at}) => `residency: ${target} received a request at ${at} after revision ${revision} was in force there`));
}

/** More runs of a request than its attempts allow mean that it is forwarded between regions in a loop. */
function excessiveRuns(records: readonly CallRecord[], starts: ReadonlyMap<string, readonly RunLogLine[]>): string[] {
	const sendings = groupBy(records, ({digest}) => digest);
	return [...starts].filter(([digest, runs]) => runs.length > (sendings.get(digest)?.length ?? 1) * maxRunsPerSending)
		.map(([digest, runs]) => `loop: ${digest} ran ${runs.length} times for ${sendings.get(digest)?.length ?? 0} sendings`);
}

function describe({load, digest, key, sending, entry, outcome, result, detail}: CallRecord): string {
	return `${load} ${key ?? digest} sending ${sending} at ${entry}: ${[outcome, result, detail].filter(Boolean).join(', ')}`;
}
