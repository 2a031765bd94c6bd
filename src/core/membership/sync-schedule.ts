import type {Millis} from '../ids/millis.ts';

/** Pause between two comparisons of the whole member list with a peer, in milliseconds. */
const periodMs = 5000;
/** Pause after a difference was found and while the process is young, in milliseconds. */
const shortPeriodMs = 1000;
/** How long a process counts as young, in milliseconds. */
const startupMs = 15_000;

/** When the whole member list is compared with a peer, and which answers are still wanted. */
export class SyncSchedule {
	#nextAt = 0;
	#nonce = 0;
	#startedAt: number | undefined;

	/** True if a comparison is due. */
	due(now: Millis): boolean {
		return now >= this.#nextAt;
	}

	/** Starts a comparison; answers to earlier ones do not count any more. */
	begin(now: Millis): number {
		this.#startedAt ??= now;
		this.#nextAt = now + (now - this.#startedAt < startupMs ? shortPeriodMs : periodMs);
		this.#nonce += 1;
		return this.#nonce;
	}

	isCurrent(nonce: number): boolean {
		return nonce === this.#nonce;
	}

	/** A peer has another list: compares again soon. */
	expedite(now: Millis): void {
		this.#nextAt = Math.min(this.#nextAt, now + shortPeriodMs);
	}
}
