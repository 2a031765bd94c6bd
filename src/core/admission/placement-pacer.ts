import type {Millis} from '../ids/millis.ts';

/** Decisions in an interval after which no further pass is made. */
const maxDecisions = 48;
/** Decisions that a pass is taken for whose number is not known. */
const assumedDecisions = 12;
/** Length of an interval, in milliseconds: the longest time for which a request waits although there is room. */
const intervalMs = 100;

/**
 * Bounds the work of placing requests that wait for capacity.
 *
 * While a region's targets are full, each answer, failure and departure of a caller may have freed capacity, hundreds of
 * times a second, and each pass compares waiting requests with all targets. Without a bound these passes take up to
 * half of the processor; turns of the event loop become so long that ends of connections are read after half a second.
 */
export class PlacementPacer {
	#intervalStart = Number.NEGATIVE_INFINITY;
	#decisions = 0;

	/** True if a pass may be made now; otherwise one is due at the end of the interval. */
	mayPass(now: Millis): boolean {
		return this.#decisions < maxDecisions || now - this.#intervalStart >= intervalMs;
	}

	/** Records a pass with a number of decisions; those after which nothing waits are not counted, since few requests can have been compared. */
	recordPass(now: Millis, {leftWaiting, decisions = assumedDecisions}: {leftWaiting: boolean; decisions?: number}): void {
		if (now - this.#intervalStart >= intervalMs) {
			this.#intervalStart = now;
			this.#decisions = 0;
		}

		this.#decisions += leftWaiting ? Math.max(1, decisions) : 0;
	}
}
