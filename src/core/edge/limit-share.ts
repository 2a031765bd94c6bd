import type {Millis} from '../ids/millis.ts';

const secondMs = 1000;
/** Requests beyond the limit that all entries together may send at once after a pause. */
const burst = 3;
/** Requests a second that are sent in spite of a lower limit, so that its end is noticed: only an answer tells of it. */
const leastPerSecond = 0.1;

type Limit = {
	/** Requests a second that the target takes from all entries together. */
	readonly perSecond: number;
	/** Number of entries that send requests to the target. */
	readonly entries: number;
};

/**
 * This entry's share of a target's limit, as slots for one request each.
 *
 * A limit holds for the sum over all entries, which do not hear of each other's requests in time. Each entry therefore
 * has one slot in every period of `entries / perSecond`, and the entries' phases are spread. Where there are many, a slot
 * that is not used runs out: all of them could save one up and use it at the same time. For rejections, which entries
 * avoid anyway, slots stay open: the next one is only put off by a rejection.
 */
export class LimitShare {
	readonly #phase: number;
	readonly #startedAt: Millis;
	readonly #unusedExpire: boolean;
	/** Start of the next slot; unset until the first call, which tells the period. */
	#slotAt: number | undefined;

	/** @param options - `phase`: the part of a period, 0 to 1, after which the first slot begins; `unusedExpire`: false if a slot that is not used stays open. */
	constructor({phase = 0, startedAt, unusedExpire = true}: {phase?: number; startedAt: Millis; unusedExpire?: boolean}) {
		this.#phase = phase;
		this.#startedAt = startedAt;
		this.#unusedExpire = unusedExpire;
	}

	/** Time until a request may be sent, in milliseconds. */
	waitMs(limit: Limit, now: Millis): number {
		return Math.max(0, this.#nextSlot(limit, now) - now);
	}

	/** Uses the next slot for a request that is sent now. */
	use(limit: Limit, now: Millis): void {
		this.#slotAt = this.#nextSlot(limit, now) + periodMs(limit);
	}

	/** Start of the next slot, which may have begun, without those that have run out. */
	#nextSlot(limit: Limit, now: Millis): number {
		const period = periodMs(limit);
		const openMs = this.#unusedExpire ? period * Math.min(1, burst / limit.entries) : Number.POSITIVE_INFINITY;
		// The period may have become shorter since the slot was set.
		let slotAt = Math.min(this.#slotAt ?? this.#startedAt + (this.#phase * period), now + period);
		if (now > slotAt + openMs) {
			slotAt += Math.ceil((now - slotAt - openMs) / period) * period;
		}

		this.#slotAt = slotAt;
		return slotAt;
	}
}

function periodMs({perSecond, entries}: Limit): number {
	return entries * secondMs / Math.max(perSecond, leastPerSecond);
}
