import type {Random} from '../common/random.ts';

/** Mean time after which a refused caller is asked to come back, in milliseconds. */
const meanMs = 1000;

/** Half to one and a half of the mean, so that refused callers do not come back together. */
export function comeBackAfter(random: Random): number {
	return Math.round(meanMs * (0.5 + random.next()));
}
