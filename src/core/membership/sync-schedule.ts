import type {Millis} from '../ids/millis.ts';

/** Interval between syncs of the full member list with a peer, in milliseconds. */
const periodMs = 5000;
/** Interval after a difference was found and during startup, in milliseconds. */
const shortPeriodMs = 1000;
/** Time from the first sync during which the short interval holds, in milliseconds. */
const startupMs = 15_000;

/** Schedules full syncs of the member list with a peer (anti-entropy) and matches replies to the current sync. */
export class SyncSchedule {
	#nextAt = 0;
	#nonce = 0;
	#startedAt: number | undefined;

	/** True if a sync is due. */
	due(now: Millis): boolean {
		return now >= this.#nextAt;
	}

	/** Starts a sync and returns its nonce; replies with an earlier nonce are no longer current. */
	begin(now: Millis): number {
		this.#startedAt ??= now;
		this.#nextAt = now + (now - this.#startedAt < startupMs ? shortPeriodMs : periodMs);
		this.#nonce += 1;
		return this.#nonce;
	}

	isCurrent(nonce: number): boolean {
		return nonce === this.#nonce;
	}

	/** Brings the next sync forward because a peer's list differs. */
	expedite(now: Millis): void {
		this.#nextAt = Math.min(this.#nextAt, now + shortPeriodMs);
	}
}
