import type {Random} from '../common/random.ts';

/** Mean time after which a refused caller is asked to come back, in milliseconds. */
const meanRetryAfterMs = 1000;

/** Half to one and a half of the mean, so that refused callers do not come back together. */
export function defaultRetryAfterMs(random: Random): number {
	return Math.round(meanRetryAfterMs * (0.5 + random.next()));
}
