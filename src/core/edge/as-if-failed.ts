import type {RequestRecord} from './request-record.ts';

/** Copy of the record as it would be if the attempt in progress had failed after it may have run. */
export function asIfFailed(record: RequestRecord): RequestRecord {
	const {running, mayHaveRunOn, excludedTargets, forwardedRuns} = record;
	if (running === undefined) {
		return record;
	}

	const {attempt, targetId} = running;
	return {
		...record,
		mayHaveRun: true,
		...targetId === undefined
			? {forwardedRuns: new Set([...forwardedRuns, attempt])}
			: {mayHaveRunOn: new Set([...mayHaveRunOn, targetId]), excludedTargets: new Set([...excludedTargets, targetId])},
	};
}
