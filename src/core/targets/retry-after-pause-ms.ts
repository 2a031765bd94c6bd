import type {Random} from '../common/random.ts';

/** Longest retry delay given to callers of paused targets, before it is spread, in milliseconds: other targets may be there by then. */
const maxDelayMs = 30_000;
/** Time over which callers return: a share of the delay, and at least this many milliseconds. */
const spreadShare = 0.25;
const minSpreadMs = 500;

/** Time after which a caller that was refused for pauses of targets should retry, in milliseconds: once the first pause is over, spread so that the callers do not return at the same time. */
export function retryAfterPauseMs(pauseMs: number, random: Random): number {
	const delayMs = Math.min(maxDelayMs, pauseMs);
	return Math.round(delayMs + (random.next() * Math.max(minSpreadMs, delayMs * spreadShare)));
}
