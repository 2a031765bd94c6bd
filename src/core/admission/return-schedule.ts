import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';

/** Bounds of the delay given to callers, in milliseconds. */
const minDelayMs = 250;
const maxDelayMs = 30_000;
/** Share of its remaining time up to which a caller honours a delay. */
const honouredShare = 1 / 3;
/** Jitter of the delay, as a share of the time between two places. */
const jitterShare = 0.5;

type ReturnQuery = {
	/** Work of the request. */
	readonly work: number;
	/** Predicted rate at which room frees for requests that return, in work a millisecond. */
	readonly workPerMs: number;
	/** Predicted time until the requests that wait now have been placed, in milliseconds. */
	readonly backlogMs: number;
	/** Time until the deadline of the request, in milliseconds. */
	readonly leftMs: number;
};

/**
 * Gives refused callers of one service places in a virtual queue: each is told to return when there is room for it
 * after those that were told so before.
 *
 * Load pattern: thousands of callers that are refused within a second and told the same delay return together, and all
 * but a few are refused again. Callers that can't wait for their place return earlier or never, and take none.
 */
export class ReturnSchedule {
	readonly #random: Random;
	/** Time of the next free place. */
	#nextAt = Number.NEGATIVE_INFINITY;

	constructor(random: Random) {
		this.#random = random;
	}

	/** Time after which a refused caller is to return, in milliseconds. */
	delayMs({work, workPerMs, backlogMs, leftMs}: ReturnQuery, now: Millis): number {
		const soonest = now + Math.max(minDelayMs, backlogMs);
		// A clock that jumped back must not keep callers away until it has caught up.
		const at = Math.max(soonest, Math.min(this.#nextAt, now + maxDelayMs));
		const spacingMs = work / workPerMs;
		if (at - now <= leftMs * honouredShare) {
			this.#nextAt = at + spacingMs;
		}

		return Math.round(Math.min(maxDelayMs, at - now + (jitterShare * spacingMs * this.#random.next())));
	}
}
