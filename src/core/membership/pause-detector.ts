import type {Millis} from '../ids/millis.ts';

/** Gap between two events that counts as a pause of the process, in milliseconds; ticks come far more often. */
const minPauseMs = 1500;

/** Notices that this process was frozen, from the gap between its events. */
export class PauseDetector {
	#lastEventAt: Millis | undefined;

	/** Returns true if the process was paused since the last call. */
	detectPause(now: Millis): boolean {
		const paused = this.#lastEventAt !== undefined && now - this.#lastEventAt > minPauseMs;
		this.#lastEventAt = now;
		return paused;
	}
}
