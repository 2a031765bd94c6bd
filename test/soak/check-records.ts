import type {SoakReport} from './soak-report.ts';

/** Targets that may run a request of a route, by the routes of the soak's configuration. */
const mostRuns = {order: 1, call: 2, draft: 2};
/** Timeout of the routes and the time after it by which a final answer must have come, in milliseconds. */
const timeoutMs = 3000;
const answerWithinMs = 500;
/** Late answers that are too many, and their least share of the requests that outlast the timeout. */
const tooManyLate = 8;
const lateShare = 0.25;

/** Checks what callers saw against the runs of the targets; returns what did not hold. */
export function checkRecords(records: SoakReport['records'], runsOf: (requestId: string) => number): string[] {
	const problems: string[] = [];
	for (const record of records) {
		const runs = runsOf(record.id);
		if (record.problem !== undefined) {
			problems.push(record.problem);
		}

		if (runs > mostRuns[record.kind]) {
			problems.push(`${record.kind} ${record.id} at ${record.entry.name} ran ${runs} times`);
		}

		if (record.outcome === 'refused' && runs > 0) {
			problems.push(`${record.kind} ${record.id} at ${record.entry.name} was refused with ${record.status}, but it ran`);
		}
	}

	const long = records.filter(({inTouch, sentAt, endAt}) => inTouch && endAt - sentAt > timeoutMs);
	const late = long.filter(({sentAt, endAt}) => endAt - sentAt > timeoutMs + answerWithinMs);
	if (late.length >= tooManyLate && late.length > lateShare * long.length) {
		problems.push(`${late.length} of ${long.length} requests beyond their route's timeout had no final answer ${answerWithinMs} ms after it, such as ${late[0]!.id} at ${late[0]!.entry.name}`);
	}

	return problems;
}
