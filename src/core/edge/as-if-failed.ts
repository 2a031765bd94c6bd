import type {RequestRecord} from './request-record.ts';

/** Copy of the record as it would be if all attempts in progress had failed after they may have run. */
export function asIfFailed(record: RequestRecord): RequestRecord {
	const {running, kept, mayHaveRunOn, excludedTargets, forwardedRuns} = record;
	if (running === undefined) {
		return record;
	}

	const attempts = [running, ...kept];
	const targetIds = attempts.flatMap(({targetId}) => targetId ?? []);
	return {
		...record,
		mayHaveRun: true,
		mayHaveRunOn: new Set([...mayHaveRunOn, ...targetIds]),
		excludedTargets: new Set([...excludedTargets, ...targetIds]),
		forwardedRuns: new Set([...forwardedRuns, ...attempts.filter(({targetId}) => targetId === undefined).map(({attempt}) => attempt)]),
	};
}
