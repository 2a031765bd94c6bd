import type {Millis} from '../ids/millis.ts';

/** Longest pause that a target may ask for by default, in milliseconds; longer ones are taken for a mistake. */
const defaultMaxPauseMs = 300_000;

/** What is new after a target has asked for a pause: it pauses, or it asked, for the first time, for longer than it may. */
type PauseNews = 'begun' | 'too-long' | undefined;

/**
 * Why this node sends no new requests to one incarnation of a target, and until when, whatever reports and listings say
 * of it: the target leaves, it asked this node for a pause, or it seems to have failed.
 */
export class TargetSuspension {
	readonly #maxPauseMs: number;
	#leaving = false;
	#pausedUntil = Number.NEGATIVE_INFINITY;
	#suspectUntil = Number.NEGATIVE_INFINITY;
	/** True if the suspicion rests on failed requests alone: other requests may be answered. */
	#mayServe = true;
	#askedTooLong = false;
	readonly #unreadableHeaders = new Set<string>();

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

	/** Records that the target wants no requests for `ms` milliseconds. A shorter pause does not end a longer one; one that is longer than a target may ask for is ignored. */
	pause(ms: number, now: Millis): PauseNews {
		if (ms > this.#maxPauseMs) {
			const isNews = !this.#askedTooLong;
			this.#askedTooLong = true;
			return isNews ? 'too-long' : undefined;
		}

		const begins = ms > 0 && this.pausedMs(now) === 0;
		this.#pausedUntil = Math.max(this.#pausedUntil, now + ms);
		return begins ? 'begun' : undefined;
	}

	/** Records that headers of the target could not be read; returns those that are new. */
	recordUnreadable(headers: readonly string[]): readonly string[] {
		const fresh = headers.filter(name => !this.#unreadableHeaders.has(name));
		for (const name of fresh) {
			this.#unreadableHeaders.add(name);
		}

		return fresh;
	}

	/** Suspends the target for `ms` milliseconds since it seems to have failed, unless `clearSuspicion` ends that sooner. `mayServe` is true if it has failed a request, and false if it gives no sign or another target is at its address. */
	suspect(ms: number, now: Millis, {mayServe = false}: {mayServe?: boolean} = {}): void {
		this.#mayServe = mayServe && (this.#mayServe || this.#suspectUntil <= now);
		this.#suspectUntil = now + ms;
	}

	clearSuspicion(): void {
		this.#suspectUntil = Number.NEGATIVE_INFINITY;
	}

	/** True if only failed requests keep new ones away. */
	mayServe(now: Millis): boolean {
		return !this.#leaving && this.pausedMs(now) === 0 && this.#suspectUntil > now && this.#mayServe;
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
