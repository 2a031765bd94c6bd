import type {Millis} from '../ids/millis.ts';

/** Time in which the weight of an outcome halves, in milliseconds: a target is tried again some seconds after its last failure. */
const halfLifeMs = 2000;
/** Weight of the assumption that a target fails no request: one failure says little. */
const priorWeight = 2;
/** Share below which a target counts as sound. */
const minShare = 0.02;

/** Estimates the share of requests that a target fails, from their outcomes; newer ones weigh more. */
export class FailureShare {
	#failures = 0;
	#outcomes = 0;
	#at = Number.NEGATIVE_INFINITY;

	record(failed: boolean, now: Millis): void {
		const decay = this.#decay(now);
		this.#failures = (this.#failures * decay) + (failed ? 1 : 0);
		this.#outcomes = (this.#outcomes * decay) + 1;
		this.#at = now;
	}

	value(now: Millis): number {
		if (this.#failures === 0) {
			return 0;
		}

		const decay = this.#decay(now);
		const share = this.#failures * decay / ((this.#outcomes * decay) + priorWeight);
		return share < minShare ? 0 : share;
	}

	/** Failures and outcomes of late, each with its present weight. */
	counts(now: Millis): {readonly failures: number; readonly outcomes: number} {
		const decay = this.#decay(now);
		return {failures: this.#failures * decay, outcomes: this.#outcomes * decay};
	}

	#decay(now: Millis): number {
		return 2 ** ((this.#at - now) / halfLifeMs);
	}
}
