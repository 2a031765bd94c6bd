import type {AttemptOutcome} from './attempt-outcome.ts';
import {fullBatchSlowdown} from './full-batch-slowdown.ts';
import {prefillToDecodeRatio} from './prefill-to-decode-ratio.ts';

/** Weight of the newest answer in the smoothed token and call times. */
const smoothing = 0.15;

/** Weight of the newest answer in the smoothed start time. */
const startSmoothing = 0.05;

/** Answers with fewer output tokens do not update the token time. */
const minOutputTokens = 4;

/** Smoothed times of one target; the token time is normalized to a single request with no others running. */
export class SpeedEstimate {
	#tokenMs: number | undefined;
	#startMs: number | undefined;
	#answers = 0;
	#callMs: number | undefined;

	/** Milliseconds per output token of a single request with no others running. */
	get tokenMs(): number | undefined {
		return this.#tokenMs;
	}

	/** Milliseconds to the first byte, less the prefill time of the uncached prompt tokens. */
	get startMs(): number | undefined {
		return this.#startMs;
	}

	/** Number of complete answers so far. */
	get answers(): number {
		return this.#answers;
	}

	/** Milliseconds per call of a plain service. */
	get callMs(): number | undefined {
		return this.#callMs;
	}

	/** Updates the estimate from a complete answer; `utilization` is the share of the target's capacity in use, from 0 to 1. */
	update(outcome: AttemptOutcome, kind: 'engine' | 'service', utilization: number): void {
		if (outcome.result !== 'whole') {
			return;
		}

		this.#answers += 1;
		if (kind === 'service') {
			this.#callMs = smooth(this.#callMs, outcome.totalMs, smoothing);
			return;
		}

		const firstByteMs = outcome.firstByteMs ?? outcome.totalMs;
		this.#updateTokenMs(outcome, firstByteMs, utilization);
		this.#updateStartMs(outcome);
	}

	#updateTokenMs(outcome: AttemptOutcome, firstByteMs: number, utilization: number): void {
		if (outcome.outputTokens < minOutputTokens) {
			return;
		}

		const decodeMs = outcome.totalMs - firstByteMs;
		// If the first byte comes with the end of the answer, it was not streamed: its tokens took the total time.
		const streamed = decodeMs > outcome.totalMs / 100;
		const observed = (streamed ? decodeMs : outcome.totalMs) / outcome.outputTokens;
		this.#tokenMs = smooth(this.#tokenMs, observed / (1 + (fullBatchSlowdown * utilization)), smoothing);
	}

	#updateStartMs(outcome: AttemptOutcome): void {
		if (outcome.firstByteMs === undefined || this.#tokenMs === undefined) {
			return;
		}

		const prefillMs = (outcome.promptTokens - outcome.cachedTokens) * this.#tokenMs * prefillToDecodeRatio;
		this.#startMs = smooth(this.#startMs, Math.max(0, outcome.firstByteMs - prefillMs), startSmoothing);
	}
}

function smooth(average: number | undefined, observed: number, weight: number): number {
	return average === undefined ? observed : average + (weight * (observed - average));
}
