import type {Random} from '../common/random.ts';

/** Bounds of the retry delay given to callers, before jitter, in milliseconds. */
const minRetryAfterMs = 250;
const maxRetryAfterMs = 3000;

/** Time after which a refused caller should retry, in milliseconds: about the expected wait for capacity, with jitter of 25 percent so that callers do not retry at the same time. */
export function callerRetryAfterMs(expectedMs: number, random: Random): number {
	const base = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, expectedMs));
	return Math.round(base * (0.75 + (random.next() / 2)));
}
