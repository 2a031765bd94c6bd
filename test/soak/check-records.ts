import type {TargetRun} from '../fakes/target-run.ts';
import {refusedAndRun} from './refused-and-run.ts';
import type {SoakRecord} from './soak-record.ts';

type CheckedRecord = SoakRecord<{readonly name: string}>;

type Run = Pick<TargetRun, 'sending'> & {readonly target: string};

/** Maximum number of runs of a request over all targets and sendings, by the route's attempts in the soak's configuration; a sending that was refused must not have run. */
const maxRuns = {
	order: 1, note: 1, call: 2, draft: 2,
};
/** Timeout of the routes, and the time after it within which the final answer must arrive, in milliseconds. */
const routeTimeoutMs = 3000;
const answerGraceMs = 500;
/**
 * A run fails if at least this many answers are late and their share of the requests that outlast the timeout exceeds the maximum;
 * below these limits late answers are tolerated.
 */
const lateAnswersThreshold = 8;
const maxLateShare = 0.25;

/** Checks the callers' records against the runs at the targets, by the identifier of the request; returns a message for each violation. To be asked once no request is under way. */
export function checkRecords(records: readonly CheckedRecord[], runsById: ReadonlyMap<string, readonly Run[]>): string[] {
	const problems: string[] = [];
	for (const record of records) {
		const runs = runsById.get(record.id) ?? [];
		if (record.problem !== undefined) {
			problems.push(record.problem);
		}

		if (runs.length > maxRuns[record.kind]) {
			problems.push(`${record.kind} ${record.id} at ${record.entry.name} ran ${runs.length} times`);
		}

		const last = record.outcome === 'refused' ? [{entry: record.entry.name, sentAt: record.sentAt, status: record.status!}] : [];
		problems.push(...refusedAndRun({
			id: record.id, name: record.kind, refused: [...record.refusedSendings, ...last], runs,
		}));
	}

	const timedOut = records.filter(({withoutRecentFault, sentAt, endAt}) => withoutRecentFault && endAt - sentAt > routeTimeoutMs);
	const late = timedOut.filter(({sentAt, endAt}) => endAt - sentAt > routeTimeoutMs + answerGraceMs);
	if (late.length >= lateAnswersThreshold && late.length > maxLateShare * timedOut.length) {
		problems.push(`${late.length} of ${timedOut.length} requests beyond their route's timeout had no final answer ${answerGraceMs} ms after it, such as ${late[0]!.id} at ${late[0]!.entry.name}`);
	}

	return problems;
}
