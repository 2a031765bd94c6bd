import type {Millis} from '../ids/millis.ts';

/** Weight of the newest interval in the smoothed one. */
const smoothing = 0.1;

/** Longest interval that is learnt from, in milliseconds. */
const maxIntervalMs = 10_000;

/** Learns how often a queue that never runs empty gives up a request. */
export class DrainIntervalEstimator {
	#intervalMs: number | undefined;
	#lastAt: Millis | undefined;

	/** Milliseconds between two placements from the queue; undefined before two were seen. */
	get intervalMs(): number | undefined {
		return this.#intervalMs;
	}

	/** Notes that a request left the queue for a target. */
	recordDrain(now: Millis): void {
		if (this.#lastAt !== undefined) {
			const interval = Math.min(maxIntervalMs, now - this.#lastAt);
			this.#intervalMs = this.#intervalMs === undefined
				? interval
				: this.#intervalMs + (smoothing * (interval - this.#intervalMs));
		}

		this.#lastAt = now;
	}

	/** Notes that the queue ran empty: the time until the next placement says nothing of its rate. */
	recordEmpty(): void {
		this.#lastAt = undefined;
	}
}
