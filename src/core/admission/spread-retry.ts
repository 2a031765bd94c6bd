import type {Random} from '../common/random.ts';

/** Shortest time after which a refused caller may come back, in milliseconds. */
const shortestRetryMs = 500;

/** Longest time that a refused caller is asked to wait, in milliseconds. */
const longestRetryMs = 30_000;

/** Time to come back, drawn evenly from one to two times the wait, so that refused callers do not return together. */
export function spreadRetry(waitMs: number, random: Random): number {
	const base = Math.min(longestRetryMs / 2, Math.max(shortestRetryMs, waitMs));
	return Math.round(base * (1 + random.next()));
}
