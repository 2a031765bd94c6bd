import type {Millis} from '../ids/millis.ts';

/** Time constants of the present slowdown and of its mean, in milliseconds. */
const presentMs = 300;
const meanMs = 10_000;
/** Time constant with which an estimate without new figures returns to the mean, in milliseconds. */
const returnMs = 900;
/** Least weight of a new figure in the present slowdown. */
const minWeight = 0.4;
/** Largest accepted ratio of a figure to the one before. */
const maxJump = 10;
/** Time after which the last accepted figure no longer bounds new ones, in milliseconds: a wrong one must not exclude correct ones for long. */
const boundMs = 5000;

/**
 * Filters the slowdown of a target's VM: how many times as long as normally work takes there now.
 *
 * Engines share their VMs with other work, and the figure changes many times a second. It is filtered in its logarithm
 * on two time scales; between figures the estimate returns to the mean, so that a target that was slow when it last
 * answered is tried again.
 */
export class SlowdownFilter {
	#present = 0;
	#mean = 0;
	#at: Millis | undefined;
	#last = 0;

	/** Takes a figure of the target; returns false if it is invalid and was ignored. */
	add(slowdown: number, now: Millis): boolean {
		const logarithm = Math.log(slowdown);
		const exceedsJump = this.#at !== undefined && now - this.#at < boundMs && logarithm - this.#last > Math.log(maxJump);
		if (!Number.isFinite(logarithm) || exceedsJump) {
			return false;
		}

		if (this.#at === undefined) {
			this.#present = logarithm;
			this.#mean = logarithm;
		} else {
			const elapsedMs = Math.max(0, now - this.#at);
			const present = this.#presentAt(now);
			this.#present = present + (Math.max(minWeight, 1 - Math.exp(-elapsedMs / presentMs)) * (logarithm - present));
			this.#mean += (1 - Math.exp(-elapsedMs / meanMs)) * (logarithm - this.#mean);
		}

		this.#last = logarithm;
		this.#at = now;
		return true;
	}

	/** Estimated slowdown; 1 for a target that tells none. */
	value(now: Millis): number {
		return this.#at === undefined ? 1 : Math.exp(this.#presentAt(now));
	}

	#presentAt(now: Millis): number {
		return this.#mean + ((this.#present - this.#mean) * Math.exp(-Math.max(0, now - this.#at!) / returnMs));
	}
}
