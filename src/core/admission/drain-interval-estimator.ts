import type {Millis} from '../ids/millis.ts';

/** Weight of the newest interval in the exponential moving average. */
const smoothing = 0.1;

/** Cap on a single interval, in milliseconds. */
const maxIntervalMs = 10_000;

/** Estimates the time between two dispatches from a queue while requests wait in it. */
export class DrainIntervalEstimator {
	#intervalMs: number | undefined;
	#lastAt: Millis | undefined;

	/** Smoothed milliseconds between two dispatches; undefined until two were recorded. */
	get intervalMs(): number | undefined {
		return this.#intervalMs;
	}

	/** Records that a request was dispatched from the queue. */
	recordDrain(now: Millis): void {
		if (this.#lastAt !== undefined) {
			const interval = Math.min(maxIntervalMs, now - this.#lastAt);
			this.#intervalMs = this.#intervalMs === undefined
				? interval
				: this.#intervalMs + (smoothing * (interval - this.#intervalMs));
		}

		this.#lastAt = now;
	}

	/** Records that the queue ran empty: the time until the next dispatch is not a drain interval. */
	recordEmpty(): void {
		this.#lastAt = undefined;
	}
}
