import type {AttemptOutcome} from './attempt-outcome.ts';
import {fullBatchSlowdown} from './full-batch-slowdown.ts';
import {prefillToDecodeRatio} from './prefill-to-decode-ratio.ts';

/** Weight of the newest answer in a smoothed average. */
const smoothing = 0.15;

/** Weight of the newest time to the first byte. */
const startSmoothing = 0.05;

/** Fewest output tokens from which a token time is learnt. */
const minOutputTokens = 4;

/** Smoothed speeds of one target, taken back to what one request alone would see. */
export class SpeedEstimate {
	#tokenMs: number | undefined;
	#startMs: number | undefined;
	#answers = 0;
	#callMs: number | undefined;

	/** Milliseconds between output tokens for one request alone. */
	get tokenMs(): number | undefined {
		return this.#tokenMs;
	}

	/** Milliseconds to the first byte that the prefill of the uncached prompt does not explain. */
	get startMs(): number | undefined {
		return this.#startMs;
	}

	/** Whole answers learnt from. */
	get answers(): number {
		return this.#answers;
	}

	/** Milliseconds of one call of a plain service. */
	get callMs(): number | undefined {
		return this.#callMs;
	}

	/** Learns from a whole answer; `fill` is the share of the target's capacity in use, from 0 to 1. */
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
