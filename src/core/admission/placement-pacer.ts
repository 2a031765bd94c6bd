import type {Millis} from '../ids/millis.ts';

/** Most passes in an interval that leave requests waiting. */
const maxPasses = 4;
/** Length of an interval, in milliseconds: the longest time for which a request waits although there is room. */
const intervalMs = 100;

/**
 * Bounds the work of placing requests that wait for capacity.
 *
 * While a region's targets are full, each answer, failure and departure of a caller may have freed capacity, hundreds of
 * times a second, and each pass compares the first waiting requests with all targets. Without a bound these passes take up to
 * half of the processor; turns of the event loop become so long that ends of connections are read after half a second.
 */
export class PlacementPacer {
	#intervalStart = Number.NEGATIVE_INFINITY;
	#passes = 0;

	/** True if a pass may be made now; otherwise one is due at the end of the interval. */
	mayPass(now: Millis): boolean {
		return this.#passes < maxPasses || now - this.#intervalStart >= intervalMs;
	}

	/** Records a pass; those after which nothing waits are not counted, since few requests can have been compared. */
	recordPass(now: Millis, {leftWaiting}: {leftWaiting: boolean}): void {
		if (now - this.#intervalStart >= intervalMs) {
			this.#intervalStart = now;
			this.#passes = 0;
		}

		this.#passes += leftWaiting ? 1 : 0;
	}
}
