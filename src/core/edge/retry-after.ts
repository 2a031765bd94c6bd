import type {Random} from '../common/random.ts';

/** Shortest and longest time to come back that a caller is told, in milliseconds. */
const minRetryAfterMs = 250;
const maxRetryAfterMs = 3000;

/** When a refused caller should come back: about when a place is expected, spread so that callers do not return together. */
export function retryAfter(expectedMs: number, random: Random): number {
	const base = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, expectedMs));
	return Math.round(base * (0.75 + (random.next() / 2)));
}
