import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';

/** Shortest gap between two events that counts as a pause, in milliseconds; ticks come about every 100 ms. */
const minPauseMs = 1500;

/** Detects that this process was paused (a frozen VM, for example) from the gap between its events. */
export class PauseDetector {
	readonly #awake = new AwakeClock();
	#lastEventAt: Millis | undefined;

	/** True if the process was paused between the last call and this one. */
	detectPause(now: Millis): boolean {
		const paused = this.#lastEventAt !== undefined && now - this.#lastEventAt > minPauseMs;
		this.#lastEventAt = now;
		this.#awake.step(now);
		return paused;
	}

	/** Time, at the last call, of a clock that stops while the process is paused for any time: probes and suspicions are measured by it, since replies may wait unread. */
	get awakeNow(): Millis {
		return this.#awake.now;
	}
}
