import type {Random} from '../common/random.ts';

/** Longest retry delay given to callers of paused targets, in milliseconds: others may be there by then. */
const maxRetryAfterMs = 30_000;
/** Time over which callers return after a pause: a share of the pause, and at least this many milliseconds. */
const spreadShare = 0.25;
const minSpreadMs = 500;

/** Time after which a caller that was refused for pauses of targets should retry, in milliseconds: once the first pause is over, spread so that the callers do not return at the same time. */
export function retryAfterPauseMs(pauseMs: number, random: Random): number {
	const spreadMs = Math.max(minSpreadMs, pauseMs * spreadShare);
	return Math.round(Math.min(maxRetryAfterMs, pauseMs) + (random.next() * spreadMs));
}
