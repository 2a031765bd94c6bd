import type {Millis} from '../ids/millis.ts';

/** Time constant of the exponential decay, in milliseconds: bursts last for a few seconds. */
const decayMs = 1000;

/** Rate of work over about the last second. */
export class WorkRate {
	#sum = 0;
	#at: Millis | undefined;

	record(work: number, now: Millis): void {
		this.#sum = this.#decayed(now) + work;
		this.#at = now;
	}

	/** Work a millisecond. */
	perMs(now: Millis): number {
		return this.#decayed(now) / decayMs;
	}

	#decayed(now: Millis): number {
		return this.#at === undefined ? 0 : this.#sum * Math.exp(-Math.max(0, now - this.#at) / decayMs);
	}
}
