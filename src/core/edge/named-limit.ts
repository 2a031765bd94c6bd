import type {Millis} from '../ids/millis.ts';
import type {LimitShare} from './limit-share.ts';

/** A rate that a target names in its answers, and this entry's share of it. */
export class NamedLimit {
	readonly #createShare: (now: Millis) => LimitShare;
	#limit: {readonly perSecond: number; readonly namedAt: Millis; readonly share: LimitShare} | undefined;

	constructor(createShare: (now: Millis) => LimitShare) {
		this.#createShare = createShare;
	}

	/** The rate; undefined if the target names none. */
	get perSecond(): number | undefined {
		return this.#limit?.perSecond;
	}

	/** Time until this entry's share lets it go on, in milliseconds; 0 without a limit. `entries` is the number of entries that share the limit. */
	waitMs(entries: number, now: Millis): number {
		return this.#limit === undefined ? 0 : this.#limit.share.waitMs({perSecond: this.#limit.perSecond, entries}, now);
	}

	/** Records what counts towards the limit. */
	use(entries: number, now: Millis): void {
		this.#limit?.share.use({perSecond: this.#limit.perSecond, entries}, now);
	}

	/** Takes the rate in an answer to an attempt sent at `sentAt`. An answer without one ends the limit, unless the attempt is older than it. Returns whether it changed. */
	update(perSecond: number | undefined, sentAt: Millis, now: Millis): boolean {
		const before = this.#limit;
		if (perSecond === before?.perSecond || (perSecond === undefined && sentAt < before!.namedAt)) {
			return false;
		}

		this.#limit = perSecond === undefined ? undefined : {perSecond, namedAt: before?.namedAt ?? now, share: before?.share ?? this.#createShare(now)};
		return true;
	}

	clear(): void {
		this.#limit = undefined;
	}
}
