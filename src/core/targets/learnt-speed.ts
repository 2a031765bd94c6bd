import type {AttemptOutcome} from './attempt-outcome.ts';

/** Weight of the newest answer in a smoothed average. */
const smoothing = 0.15;

/** Weight of a slower first byte than known: mostly queueing, not prefill. */
const queueingSmoothing = 0.03;

/** How much longer a token takes in a full batch than alone, as a share of the time alone. */
const fullBatchSlowdown = 1;

/** Fewest output tokens from which a token time is learnt. */
const fewestTokens = 4;

/** Fewest uncached prompt tokens from which a prefill time is learnt. */
const fewestPromptTokens = 32;

/** Smoothed speeds of one target, taken back to what one request alone would see. */
export class LearntSpeed {
	#tokenMs: number | undefined;
	#prefillTokenMs: number | undefined;
	#callMs: number | undefined;

	/** Milliseconds between output tokens for one request alone. */
	get tokenMs(): number | undefined {
		return this.#tokenMs;
	}

	/** Milliseconds of prefill for one uncached prompt token. */
	get prefillTokenMs(): number | undefined {
		return this.#prefillTokenMs;
	}

	/** Milliseconds of one call of a plain service. */
	get callMs(): number | undefined {
		return this.#callMs;
	}

	/** Learns from a whole answer; `fill` is the share of the target's capacity in use, from 0 to 1. */
	learn(outcome: AttemptOutcome, kind: 'engine' | 'service', fill: number): void {
		if (outcome.result !== 'whole') {
			return;
		}

		if (kind === 'service') {
			this.#callMs = smooth(this.#callMs, outcome.totalMs, smoothing);
			return;
		}

		const firstByteMs = outcome.firstByteMs ?? outcome.totalMs;
		this.#learnToken(outcome, firstByteMs, fill);
		this.#learnPrefill(outcome, firstByteMs);
	}

	#learnToken(outcome: AttemptOutcome, firstByteMs: number, fill: number): void {
		if (outcome.outputTokens < fewestTokens) {
			return;
		}

		const decodeMs = outcome.totalMs - firstByteMs;
		const streamed = decodeMs > outcome.totalMs / 100;
		const observed = (streamed ? decodeMs : outcome.totalMs) / outcome.outputTokens;
		this.#tokenMs = smooth(this.#tokenMs, observed / (1 + (fullBatchSlowdown * fill)), smoothing);
	}

	#learnPrefill(outcome: AttemptOutcome, firstByteMs: number): void {
		const uncached = outcome.promptTokens - outcome.cachedTokens;
		if (uncached < fewestPromptTokens || outcome.firstByteMs === undefined) {
			return;
		}

		const observed = firstByteMs / uncached;
		const slower = this.#prefillTokenMs !== undefined && observed > this.#prefillTokenMs;
		this.#prefillTokenMs = smooth(this.#prefillTokenMs, observed, slower ? queueingSmoothing : smoothing);
	}
}

function smooth(average: number | undefined, observed: number, weight: number): number {
	return average === undefined ? observed : average + (weight * (observed - average));
}
