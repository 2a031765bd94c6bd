import type {SoakReport} from './soak-report.ts';

/** Maximum number of runs of a request over all targets, by the route's attempts in the soak's configuration. */
const maxRuns = {order: 1, call: 2, draft: 2};
/** Timeout of the routes, and the time after it within which the final answer must arrive, in milliseconds. */
const routeTimeoutMs = 3000;
const answerGraceMs = 500;
/**
 * A run fails if at least this many answers are late and their share of the requests that outlast the timeout exceeds the maximum;
 * below these limits late answers are tolerated.
 */
const lateAnswersThreshold = 8;
const maxLateShare = 0.25;

/** Checks the callers' records against the runs counted by the targets; returns a message for each violation. */
export function checkRecords(records: SoakReport['records'], runsOf: (requestId: string) => number): string[] {
	const problems: string[] = [];
	for (const record of records) {
		const runs = runsOf(record.id);
		if (record.problem !== undefined) {
			problems.push(record.problem);
		}

		if (runs > maxRuns[record.kind]) {
			problems.push(`${record.kind} ${record.id} at ${record.entry.name} ran ${runs} times`);
		}

		if (record.outcome === 'refused' && runs > 0) {
			problems.push(`${record.kind} ${record.id} at ${record.entry.name} was refused with ${record.status}, but it ran`);
		}
	}

	const timedOut = records.filter(({withoutRecentFault, sentAt, endAt}) => withoutRecentFault && endAt - sentAt > routeTimeoutMs);
	const late = timedOut.filter(({sentAt, endAt}) => endAt - sentAt > routeTimeoutMs + answerGraceMs);
	if (late.length >= lateAnswersThreshold && late.length > maxLateShare * timedOut.length) {
		problems.push(`${late.length} of ${timedOut.length} requests beyond their route's timeout had no final answer ${answerGraceMs} ms after it, such as ${late[0]!.id} at ${late[0]!.entry.name}`);
	}

	return problems;
}
