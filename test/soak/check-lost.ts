import type {TargetRun} from '../fakes/target-run.ts';
import type {PlannedRecord} from './planned-record.ts';

/** Grace period of the entries, and its last part, in which a target that is still at work excuses the end of its request; in milliseconds. */
const graceMs = 6000;
const lastPartMs = graceMs / 6;
/** Time after SIGTERM up to which a request must be sent so that a target that is still at work excuses it, in milliseconds. */
const excusedSendMs = 3000;
/** Time after its last byte at which a request that was passed to no target counts as read, in milliseconds. */
const lossSlackMs = 500;

type CutReason = 'lost' | 'crossed the close' | 'broken off by the target' | 'out of time' | 'at work at the end';

type Stop = {readonly entry: string; readonly at: number};

/**
 * Why a channel ended before the answer was complete; undefined if it did not. `lost`: an entry had read the request whole, and neither its target nor its time is the reason.
 * To be asked only where nothing but planned work goes on.
 */
export function judgeCut(record: PlannedRecord, runs: readonly TargetRun[], stops: readonly Stop[]): CutReason | undefined {
	const {entry, sentAt, budgetMs, endedAt, outcome} = record;
	if (outcome !== 'broken' || endedAt === undefined) {
		return undefined;
	}

	if (runs.length === 0 && endedAt - sentAt <= lossSlackMs) {
		return 'crossed the close';
	}

	if (runs.some(({end}) => end === 'broken off')) {
		return 'broken off by the target';
	}

	if (endedAt - sentAt >= budgetMs) {
		return 'out of time';
	}

	const isExcused = stops.some(({entry: stopped, at}) => stopped === entry && sentAt <= at + excusedSendMs && runs.some(run => wasAtWork(run, at + graceMs)));
	return isExcused ? 'at work at the end' : 'lost';
}

/** True if a target was at work on a request in the last part of a grace period. */
function wasAtWork({startedAt, endedAt = Number.POSITIVE_INFINITY}: TargetRun, graceEndsAt: number): boolean {
	return startedAt <= graceEndsAt && endedAt >= graceEndsAt - lastPartMs;
}
