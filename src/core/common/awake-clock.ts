import type {Millis} from '../ids/millis.ts';

/** Longest time between two steps that counts as time in which others could be heard, in milliseconds; ticks come every 50 or 100 ms. */
const maxStepMs = 200;

/**
 * Clock that stops while this process stands still, for checks of how long others have been silent.
 *
 * Timers run before sockets are read: after a standstill, what others sent in the meantime is still unread when the
 * first check by the clock is made.
 */
export class AwakeClock {
	#lastStepAt: Millis | undefined;
	#lostMs = 0;
	#stoodStill = false;

	/** To be called at the start of each step; returns the time of this clock, which can be compared with its earlier times only. */
	step(now: Millis): Millis {
		const sinceMs = now - (this.#lastStepAt ?? now);
		this.#stoodStill = sinceMs > maxStepMs;
		this.#lostMs += Math.max(0, sinceMs - maxStepMs);
		this.#lastStepAt = now;
		return this.now;
	}

	/** Time of this clock at the current step. */
	get now(): Millis {
		return (this.#lastStepAt ?? 0) - this.#lostMs as Millis;
	}

	/** True if the process stood still right before the current step: what others sent by now may be unread. */
	get stoodStill(): boolean {
		return this.#stoodStill;
	}

	/** Time for which the process has stood still so far, in milliseconds. */
	get lostMs(): number {
		return this.#lostMs;
	}
}
