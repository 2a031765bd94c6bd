import type {Millis} from '../ids/millis.ts';

/** Longest pause that a target may ask for by default, in milliseconds; longer ones are taken for a mistake. */
const defaultMaxPauseMs = 300_000;

type PauseOutcome =
	/** The target pauses from now on. */
	| 'begun'
	/** It pauses already; the later end holds. */
	| 'extended'
	/** The time is longer than a target may ask for. */
	| 'too-long';

/**
 * Why this node sends no new requests to one incarnation of a target, and until when, whatever reports and listings say
 * of it: the target leaves, it asked this node for a pause, or it seems to have failed.
 */
export class TargetSuspension {
	readonly #maxPauseMs: number;
	#leaving = false;
	#pausedUntil = Number.NEGATIVE_INFINITY;
	#suspectUntil = Number.NEGATIVE_INFINITY;

	constructor({maxPauseMs = defaultMaxPauseMs}: {maxPauseMs?: number} = {}) {
		this.#maxPauseMs = maxPauseMs;
	}

	/** True once the target has said that it leaves. */
	get leaving(): boolean {
		return this.#leaving;
	}

	/** Records that the target leaves, which is final; returns whether that is news. */
	leave(): boolean {
		const isNews = !this.#leaving;
		this.#leaving = true;
		return isNews;
	}

	/** Records that the target wants no requests for `ms` milliseconds. A shorter pause does not end a longer one. */
	pause(ms: number, now: Millis): PauseOutcome {
		if (ms > this.#maxPauseMs) {
			return 'too-long';
		}

		const outcome = this.pausedMs(now) > 0 ? 'extended' : 'begun';
		this.#pausedUntil = Math.max(this.#pausedUntil, now + ms);
		return outcome;
	}

	/** Suspends the target for `ms` milliseconds since it seems to have failed, unless `clearSuspicion` ends that sooner. */
	suspect(ms: number, now: Millis): void {
		this.#suspectUntil = now + ms;
	}

	clearSuspicion(): void {
		this.#suspectUntil = Number.NEGATIVE_INFINITY;
	}

	/** Time left of the pause that the target asked for, in milliseconds. */
	pausedMs(now: Millis): number {
		return Math.max(0, this.#pausedUntil - now);
	}

	/** Time until the target may get requests again, in milliseconds; infinite if it leaves. */
	remainingMs(now: Millis): number {
		return this.#leaving ? Number.POSITIVE_INFINITY : Math.max(0, this.#pausedUntil - now, this.#suspectUntil - now);
	}
}
