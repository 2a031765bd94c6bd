import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';

/** Samples that are kept; older ones are forgotten. */
const maxSamples = 32;
/** Open predictions that are considered, the oldest ones. */
const maxOpen = 64;
/** Fewest samples from which a distribution is estimated; a smaller number says nothing of its tails. */
const minSamples = 6;
/** Age from which on a sample is forgotten, in milliseconds. With 10 s, requests were refused for seconds after the engines had drained. */
const maxSampleAgeMs = 2000;
/** Added to both times so that errors of times near zero do not dominate, in milliseconds: about two turns of a busy event loop. */
const resolutionMs = 20;
/** Time for which an estimate is used again, in milliseconds. */
const reuseMs = 50;

type Sample = {readonly ratio: number; readonly isOpen: boolean};

/**
 * Distribution of the measured error of a prediction, as the ratio of the measured time to the predicted one.
 *
 * Load pattern: in a burst, entries that do not see each other's requests predict starts several times too early, and
 * admit what can't be served. The newest samples decide, since the error changes within seconds. Requests that have not
 * started yet count with the time that has passed (Kaplan-Meier estimate): those that start late are known late.
 */
export class PredictionError {
	/** In order of time. */
	readonly #samples: Array<{readonly at: Millis; readonly ratio: number}> = [];
	/** Predictions of attempts that have not started yet. */
	readonly #open = new Map<AttemptNumber, {readonly at: Millis; readonly predictedMs: number}>();
	/** Survival function at ascending ratios. */
	#survival: ReadonlyArray<{readonly ratio: number; readonly share: number}> = [];
	#estimatedAt = Number.NEGATIVE_INFINITY;

	/** Adds a prediction whose measured time is not known yet. */
	open(attempt: AttemptNumber, predictedMs: number, now: Millis): void {
		this.#open.set(attempt, {at: now, predictedMs});
	}

	/** Takes the time since `open` as the measured one. */
	close(attempt: AttemptNumber, now: Millis): void {
		const prediction = this.#open.get(attempt);
		if (prediction !== undefined) {
			this.#open.delete(attempt);
			this.record({predictedMs: prediction.predictedMs, measuredMs: now - prediction.at}, now);
		}
	}

	/** Forgets a prediction that can't be measured any more. */
	drop(attempt: AttemptNumber): void {
		this.#open.delete(attempt);
	}

	record({predictedMs, measuredMs}: {predictedMs: number; measuredMs: number}, now: Millis): void {
		const ratio = ratioOf(measuredMs, predictedMs);
		if (!Number.isFinite(ratio)) {
			return;
		}

		this.#samples.push({at: now, ratio});
		if (this.#samples.length > maxSamples) {
			this.#samples.shift();
		}
	}

	/** Factor by which a predicted time is to be multiplied so that the measured one is not longer with a confidence of 0 to 1; 1 while too little is known. */
	factor(confidence: number, now: Millis): number {
		// A clock that jumped back makes samples of the future.
		if (Math.abs(now - this.#estimatedAt) >= reuseMs) {
			this.#survival = this.#estimate(now);
			this.#estimatedAt = now;
		}

		const reached = this.#survival.find(({share}) => share <= 1 - confidence) ?? this.#survival.at(-1);
		return reached?.ratio ?? 1;
	}

	#estimate(now: Millis): ReadonlyArray<{ratio: number; share: number}> {
		while (this.#samples.length > 0 && Math.abs(now - this.#samples[0]!.at) > maxSampleAgeMs) {
			this.#samples.shift();
		}

		const samples: Sample[] = this.#samples.map(({ratio}) => ({ratio, isOpen: false}));
		for (const {at, predictedMs} of this.#open.values()) {
			if (samples.length === maxSamples + maxOpen) {
				break;
			}

			samples.push({ratio: ratioOf(now - at, predictedMs), isOpen: true});
		}

		if (samples.length < minSamples) {
			return [];
		}

		samples.sort((left, right) => left.ratio - right.ratio);
		let share = 1;
		const survival = samples.map(({ratio, isOpen}, index) => {
			share *= isOpen ? 1 : 1 - (1 / (samples.length - index));
			return {ratio, share};
		});
		// Open predictions alone say nothing unless they are overdue.
		return this.#samples.length >= minSamples || survival.at(-1)!.ratio > 1 ? survival : [];
	}
}

function ratioOf(measuredMs: number, predictedMs: number): number {
	return (Math.max(0, measuredMs) + resolutionMs) / (Math.max(0, predictedMs) + resolutionMs);
}
