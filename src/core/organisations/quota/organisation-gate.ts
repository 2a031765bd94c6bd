import type {Random} from '../../common/random.ts';
import type {Millis} from '../../ids/millis.ts';
import type {OrganisationId} from '../../ids/organisation-id.ts';
import type {OrganisationQuota} from '../organisation-quota.ts';
import type {OrganisationUse} from './organisation-use.ts';
import type {QuotaBounds} from './quota-bounds.ts';
import {quotaAllowance} from './quota-allowance.ts';
import {partsOfUse} from './parts-of-use.ts';
import {recentPart} from './recent-part.ts';
import {refusalShare} from './refusal-share.ts';
import {ReportedUse} from './reported-use.ts';
import {UseWindow} from './use-window.ts';

const millionths = 1e6;
/** Age of the sums from which an entry gives up its share, in milliseconds: with regular statuses they are at most 0.6 s old. */
const freshMs = 1200;
/** Age of the sums at which an entry gives up its safe share too, before control nodes take it for stopped, in milliseconds. */
const safeShareEndsMs = 50_000;
/** Multiple of the quota's rate from which use counts as steeply rising: requests that move to other entries are about twice it in the reports. */
const steepRate = 3;
/** Time for which reports of steeply rising use are behind, in milliseconds; simulated, see docs/design/quotas.md. */
const unheardMs = 200;
/** Steps at which a time to retry is searched within the window. */
const retrySteps = 16;

type Knowledge = {
	readonly entries: number;
	readonly silent: number;
	/** Age of the sums, in milliseconds. */
	readonly silenceMs: number;
};

/** One organisation's quota at one entry: its own use, what is known of the others', and the share that follows from both. */
export class OrganisationGate {
	readonly #name: OrganisationId;
	readonly #bounds: QuotaBounds;
	readonly #random: Random;
	readonly #used: UseWindow;
	readonly #refused: UseWindow;
	#quota: OrganisationQuota;
	#allowance: ReturnType<typeof quotaAllowance>;
	#others: ReportedUse | undefined;
	/** Units that this entry could use within one window when the sums last came. */
	#shareAtUpdate: number | undefined;
	/** Asked for since the last report, and what that showed, in units and units per millisecond. */
	#unreported = 0;
	#reportedRate = 0;
	#reportedAt = Number.NEGATIVE_INFINITY as Millis;
	#largestCost = 0;
	/** Time at which the requests that were told to come back will have used what is free. */
	#bookedUntil = Number.NEGATIVE_INFINITY;

	constructor(name: OrganisationId, quota: OrganisationQuota, {bounds, random}: {readonly bounds: QuotaBounds; readonly random: Random}) {
		this.#name = name;
		this.#random = random;
		this.#bounds = bounds;
		this.#quota = quota;
		this.#allowance = quotaAllowance(quota, bounds);
		this.#used = new UseWindow(bounds.windowMs);
		this.#refused = new UseWindow(bounds.windowMs * refusalShare);
	}

	get name(): OrganisationId {
		return this.#name;
	}

	/** The quota in one window, in its unit. */
	get total(): number {
		return this.#allowance.quota;
	}

	/** Changes the quota; returns false if its unit differs, so that earlier use cannot be compared. */
	setQuota(quota: OrganisationQuota): boolean {
		if (quota.unit !== this.#quota.unit) {
			return false;
		}

		this.#quota = quota;
		this.#allowance = quotaAllowance(quota, this.#bounds);
		return true;
	}

	used(now: Millis): number {
		return this.#used.sum(now);
	}

	/** Units refused for the quota within the newest part of the window. */
	refused(now: Millis): number {
		return this.#refused.sum(now);
	}

	/** Units sent within the newest half of a part. */
	recent(now: Millis): number {
		return this.#used.newest(recentPart * this.#bounds.windowMs / partsOfUse, now);
	}

	byAge(count: number, now: Millis): number[] {
		return this.#used.byAge(count, now);
	}

	/** Marks the present use as reported. */
	recordReport(now: Millis): void {
		this.#reportedAt = now;
		this.#reportedRate = this.#used.newest(this.#bounds.windowMs * refusalShare, now) / (this.#bounds.windowMs * refusalShare);
		this.#unreported = 0;
	}

	/** True if so much more was asked for than the last report lets expect that all should know: at first use, or by more than two requests. */
	isSurprising(now: Millis): boolean {
		if (this.#unreported === 0) {
			return false;
		}

		const expected = this.#reportedRate * (now - this.#reportedAt);
		return this.#reportedRate === 0 ? this.#unreported * 1000 > this.total : this.#unreported > (2 * expected) + (1.5 * this.#largestCost);
	}

	/** Takes the use at all other entries; undefined if it is not notable. */
	setOthers(use: OrganisationUse | undefined, at = 0 as Millis): void {
		this.#others = use && new ReportedUse(use, {at, windowMs: this.#bounds.windowMs});
		this.#shareAtUpdate = undefined;
	}

	/** Charges a request unless the quota is used up; otherwise returns the time after which it can pass, in milliseconds. */
	admit(cost: number, knowledge: Knowledge, now: Millis): number | undefined {
		const own = this.#used.sum(now);
		this.#unreported += cost;
		this.#largestCost = Math.max(this.#largestCost, cost);
		const isFresh = knowledge.silenceMs <= freshMs;
		const fits = isFresh ? this.#fitsSums(cost, own, knowledge, now) : this.#fitsShare(cost, own, knowledge, now);
		if (fits) {
			this.#used.add(cost, now);
			return undefined;
		}

		this.#refused.add(cost, now);
		return this.#retryAfterMs(cost, own, knowledge, now);
	}

	refund(cost: number, at: Millis, now: Millis): void {
		this.#used.remove(cost, at, now);
	}

	/**
	 * Decides by the sums. One that asks for more than its quota is served by lot, with the same chance at all entries: shares of single entries would be
	 * smaller than a request where there are many. One that asks for less is never in the lot, whichever entries its requests come at.
	 */
	#fitsSums(cost: number, own: number, knowledge: Knowledge, now: Millis): boolean {
		const others = this.#others;
		const used = own + this.#fromMillionths(others?.used(now));
		const reserve = this.#reserve(knowledge);
		const {limit, target} = this.#allowance;
		const refused = this.#refused.sum(now) + this.#fromMillionths(others?.refused);
		if (used + cost + this.#unheard() > (refused > 0 ? target : limit) - reserve) {
			return false;
		}

		if (refused === 0 || used + refused + cost <= limit - reserve) {
			return true;
		}

		const aheadMs = this.#bounds.windowMs * refusalShare;
		const remaining = this.#used.sumAfter(aheadMs, now) + this.#fromMillionths(others?.used(now + aheadMs as Millis, now));
		const asked = refused + this.#used.newest(aheadMs, now) + this.#fromMillionths(others?.newest);
		return this.#random.next() * asked < target - reserve - remaining;
	}

	/** What others may have sent that is in no report yet, where use rises far above the quota's rate. */
	#unheard(): number {
		const recentMs = this.#bounds.windowMs * recentPart / partsOfUse;
		const rate = this.#fromMillionths(this.#others?.recent) / recentMs;
		return unheardMs * Math.max(0, rate - (steepRate * this.#quota.perSecond / 1000));
	}

	/** Decides without fresh sums; a request larger than what is left of the share passes by lot. */
	#fitsShare(cost: number, own: number, knowledge: Knowledge, now: Millis): boolean {
		const left = this.#staleShare(knowledge, now) - own;
		return left > 0 && this.#random.next() * cost < left;
	}

	/** What is set aside for the safe shares of silent entries, as far as the tolerance above the target does not cover them. */
	#reserve({entries, silent}: Knowledge): number {
		const {target, bound} = this.#allowance;
		return Math.max(0, (target * silent / entries) - (bound - target));
	}

	/** The share without fresh sums: falls over one window from the last one to an equal part, as the others see its use leave the window. */
	#staleShare(knowledge: Knowledge, now: Millis): number {
		const {entries, silenceMs} = knowledge;
		const {target, bound} = this.#allowance;
		const safe = (silenceMs > safeShareEndsMs ? bound - target : target) / entries;
		if (!Number.isFinite(silenceMs)) {
			return safe;
		}

		this.#shareAtUpdate ??= this.#lastShare(knowledge, now);
		const left = Math.max(0, 1 - ((silenceMs - freshMs) / this.#bounds.windowMs));
		return safe + (Math.max(0, this.#shareAtUpdate - safe) * left);
	}

	#lastShare({entries, silenceMs}: Knowledge, now: Millis): number {
		const {target} = this.#allowance;
		const own = this.#used.sum(now);
		const others = this.#fromMillionths(this.#others?.used(now - silenceMs as Millis));
		// What nobody used is free for all: an equal part of it is safe.
		return Math.min(target, own + (Math.max(0, target - own - others) / entries));
	}

	/** Time until enough has left the window, or until those that were refused before have had their turn. */
	#retryAfterMs(cost: number, own: number, knowledge: Knowledge, now: Millis): number {
		const {windowMs} = this.#bounds;
		const {target} = this.#allowance;
		const others = this.#others;
		const excess = own + cost + this.#fromMillionths(others?.used(now)) - target;
		const stepMs = windowMs / retrySteps;
		let earliestMs = 0;
		while (earliestMs < windowMs && this.#releasedAfter(earliestMs, own, now) < excess) {
			earliestMs += stepMs;
		}

		// This entry's part of what becomes free; requests refused before this one come back earlier.
		const part = Math.max(own, target / knowledge.entries);
		const turnMs = Math.min(windowMs, cost * windowMs / part);
		this.#bookedUntil = Math.min(Math.max(now + earliestMs, this.#bookedUntil) + turnMs, now + windowMs);
		return this.#bookedUntil - now;
	}

	#releasedAfter(ms: number, own: number, now: Millis): number {
		const others = this.#others;
		const released = this.#fromMillionths(others === undefined ? 0 : others.used(now) - others.used(now + ms as Millis, now));
		return released + own - this.#used.sumAfter(ms, now);
	}

	#fromMillionths(amount = 0): number {
		return amount * this.#allowance.quota / millionths;
	}
}
