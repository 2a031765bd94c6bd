import type {Random} from '../common/random.ts';

/** Shortest wait that a retry delay is computed from, in milliseconds; also the lower bound of the delay. */
const minWaitMs = 500;

/** Upper bound of a retry delay, in milliseconds. */
const maxRetryAfterMs = 30_000;

/** Retry delay in milliseconds, uniform between one and two times the wait, so that refused callers do not retry at the same moment. */
export function jitteredRetryAfterMs(waitMs: number, random: Random): number {
	const base = Math.min(maxRetryAfterMs / 2, Math.max(minWaitMs, waitMs));
	return Math.round(base * (1 + random.next()));
}
