import type {Random} from '../common/random.ts';

/** Shortest wait that a retry time is computed from, in milliseconds; a lower bound of the retry time. */
const minWaitMs = 500;

/** Upper bound of a retry time, in milliseconds. */
const maxRetryAfterMs = 30_000;

/** Retry time in milliseconds, uniform between one and two times the wait, so that refused callers do not retry at the same moment. */
export function jitteredRetryAfterMs(waitMs: number, random: Random): number {
	const base = Math.min(maxRetryAfterMs / 2, Math.max(minWaitMs, waitMs));
	return Math.round(base * (1 + random.next()));
}
