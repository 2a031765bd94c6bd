import type {Random} from '../../src/core/common/random.ts';

type Next = {
	/** Time until the request is sent again, in milliseconds. */
	readonly delayMs: number;
	/** True if it is sent to the entry that refused it. */
	readonly sameEntry: boolean;
};

/** Statuses after which callers send a request again, whatever its kind. */
const promises = new Set([408, 421, 429, 503]);
const maxSendings = 4;
/** Shares of the refusals after which the request is sent again, of these that don't wait, and of these that go to the same entry. */
const againShare = 0.85;
const atOnceShare = 0.4;
const sameEntryShare = 0.7;
/** Wait without `Retry-After`, and longest wait, in milliseconds: a third of the callers' time. */
const defaultWaitMs = 300;
const maxWaitMs = 1600;

/** What callers do with a request that was refused as not run: they send it again under its identifier, or give up. */
export class RefusedCallers {
	readonly #random: Random;

	constructor(random: Random) {
		this.#random = random;
	}

	/**
	 * How a request is sent again; undefined if its caller gives up, or must not send it again.
	 *
	 * @param sendings - Number of sendings until now.
	 */
	next({status, retryAfter, sendings}: {status: number | undefined; retryAfter: string | undefined; sendings: number}): Next | undefined {
		if (status === undefined || !promises.has(status) || sendings >= maxSendings || this.#random.next() >= againShare) {
			return undefined;
		}

		const waitMs = retryAfter === undefined ? defaultWaitMs : Math.min(Number(retryAfter) * 1000, maxWaitMs);
		return {delayMs: this.#random.next() < atOnceShare ? 0 : waitMs, sameEntry: this.#random.next() < sameEntryShare};
	}
}
