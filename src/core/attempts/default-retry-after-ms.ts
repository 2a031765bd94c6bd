import type {Random} from '../common/random.ts';

/** Mean retry delay, in milliseconds. */
const meanRetryAfterMs = 1000;

/** Retry delay in milliseconds, uniform between 0.5 and 1.5 times the mean, so that refused callers do not retry at the same moment. */
export function defaultRetryAfterMs(random: Random): number {
	return Math.round(meanRetryAfterMs * (0.5 + random.next()));
}
