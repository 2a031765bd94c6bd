import type {Random} from '../common/random.ts';

/** Shortest time after which a refused caller may come back, in milliseconds. */
const minWaitMs = 500;

/** Longest time that a refused caller is asked to wait, in milliseconds. */
const maxRetryAfterMs = 30_000;

/** Time to come back, drawn evenly from one to two times the wait, so that refused callers do not return together. */
export function jitteredRetryAfterMs(waitMs: number, random: Random): number {
	const base = Math.min(maxRetryAfterMs / 2, Math.max(minWaitMs, waitMs));
	return Math.round(base * (1 + random.next()));
}
