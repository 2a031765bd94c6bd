import type {Millis} from '../ids/millis.ts';

/** Samples that are kept; older ones are forgotten. */
const maxSamples = 32;
/** Fewest samples from which a distribution is estimated; a smaller number says nothing of its tails. */
const minSamples = 6;
/** Age from which on a sample is forgotten, in milliseconds: bursts end within seconds. */
const maxSampleAgeMs = 10_000;
/** Added to both times so that errors of times near zero do not dominate, in milliseconds: about two turns of a busy event loop. */
const resolutionMs = 20;

/**
 * Distribution of the measured error of a prediction, as the ratio of the measured time to the predicted one.
 *
 * Load pattern: in a burst, entries that do not see each other's requests predict starts several times too early, and
 * admit what can't be served. The newest samples decide, since the error changes within seconds.
 */
export class PredictionError {
	/** In order of time. */
	readonly #samples: Array<{readonly at: Millis; readonly ratio: number}> = [];
	/** Ratios in ascending order; undefined if samples were added or forgotten since. */
	#sorted: readonly number[] | undefined;

	record({predictedMs, measuredMs}: {predictedMs: number; measuredMs: number}, now: Millis): void {
		const ratio = (Math.max(0, measuredMs) + resolutionMs) / (Math.max(0, predictedMs) + resolutionMs);
		if (!Number.isFinite(ratio)) {
			return;
		}

		this.#samples.push({at: now, ratio});
		if (this.#samples.length > maxSamples) {
			this.#samples.shift();
		}

		this.#sorted = undefined;
	}

	/** Factor by which a predicted time is to be multiplied so that the measured one is not longer with a confidence of 0 to 1; 1 while too little is known. */
	factor(confidence: number, now: Millis): number {
		// A clock that jumped back makes samples of the future.
		while (this.#samples.length > 0 && Math.abs(now - this.#samples[0]!.at) > maxSampleAgeMs) {
			this.#samples.shift();
			this.#sorted = undefined;
		}

		if (this.#samples.length < minSamples) {
			return 1;
		}

		this.#sorted ??= this.#samples.map(({ratio}) => ratio).sort((left, right) => left - right);
		return this.#sorted[Math.min(this.#sorted.length - 1, Math.floor(confidence * this.#sorted.length))]!;
	}
}
