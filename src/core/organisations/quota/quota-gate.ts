import {AwakeClock} from '../../common/awake-clock.ts';
import type {Random} from '../../common/random.ts';
import type {Millis} from '../../ids/millis.ts';
import type {OrganisationId} from '../../ids/organisation-id.ts';
import type {OrganisationQuota} from '../organisation-quota.ts';
import type {EntryDemand} from './entry-demand.ts';
import {partsOfUse} from './parts-of-use.ts';
import type {QuotaBounds} from './quota-bounds.ts';
import type {QuotaCharge} from './quota-charge.ts';
import type {QuotaDecision} from './quota-decision.ts';
import type {QuotaFeed} from './quota-feed.ts';
import {OrganisationGate} from './organisation-gate.ts';
import {toUse} from './to-use.ts';

/** Part of its fair share of the quota from which an entry reports an organisation: what entries do not report adds up to 2 percent at most. */
const notableShare = 0.02;
/** Most organisations that a status names. */
const maxOrganisations = 32;
const millionths = 1e6;
/** Shortest time between a report and one that is sent because demand rose, in milliseconds. */
const urgentIntervalMs = 100;

type QuotaGateOptions = {
	readonly bounds: QuotaBounds;
	/** Distinguishes this run of the process. */
	readonly run: number;
	readonly random: Random;
};

/**
 * Decides at an entry whether the quota of an organisation, which all entries share, lets a request pass.
 *
 * Load patterns: a demand under the quota that comes at one entry, at all, or moves between them within a second, must pass; a demand of many times the
 * quota at all entries must stay within the bound of each sliding window. See docs/design/quotas.md.
 */
export class QuotaGate {
	readonly #options: QuotaGateOptions;
	/** Runs on only while this process runs: after a standstill, or a clock that jumped, nothing has left the window too soon. */
	readonly #clock = new AwakeClock();
	readonly #organisations = new Map<OrganisationId, OrganisationGate>();
	/** Organisations with use in the window. */
	readonly #active = new Set<OrganisationGate>();
	readonly #named = new Set<OrganisationGate>();
	/** Organisations whose demand rose since the last report. */
	readonly #surprising = new Set<OrganisationGate>();
	#reportedAt = Number.NEGATIVE_INFINITY as Millis;
	#entries = 1;
	#silent = 0;
	#updatedAt = Number.NEGATIVE_INFINITY as Millis;

	constructor(options: QuotaGateOptions) {
		this.#options = options;
	}

	/** Number of organisations that have used part of their quota within the window. */
	get activeOrganisations(): number {
		return this.#active.size;
	}

	/** Takes the quotas of a new document; what was used before still counts. */
	setQuotas(organisations: Iterable<{readonly name: OrganisationId; readonly quota?: OrganisationQuota}>): void {
		const left = new Set(this.#organisations.keys());
		for (const {name, quota} of organisations) {
			if (quota !== undefined) {
				left.delete(name);
				const known = this.#organisations.get(name);
				if (known?.setQuota(quota) !== true) {
					this.#forget(name);
					this.#organisations.set(name, new OrganisationGate(name, quota, this.#options));
				}
			}
		}

		for (const name of left) {
			this.#forget(name);
		}
	}

	/** To be called regularly: time between calls that are far apart is taken for a standstill. */
	tick(now: Millis): void {
		this.#clock.step(now);
	}

	admit({organisation, cost}: {readonly organisation: OrganisationId; readonly cost: number}, now: Millis): QuotaDecision {
		const at = this.#clock.step(now);
		const quota = this.#organisations.get(organisation);
		if (quota === undefined) {
			return {admitted: true, charge: {organisation, cost: 0, at}};
		}

		this.#active.add(quota);
		if (quota.isSurprising(at)) {
			this.#surprising.add(quota);
		}

		const retryAfterMs = quota.admit(cost, {entries: this.#entries, silent: this.#silent, silenceMs: at - this.#updatedAt}, at);
		return retryAfterMs === undefined ? {admitted: true, charge: {organisation, cost, at}} : {admitted: false, retryAfterMs};
	}

	/** True if the demand has risen so much since the last report that it should be reported at once. */
	mustReport(now: Millis): boolean {
		return this.#surprising.size > 0 && this.#clock.step(now) - this.#reportedAt >= urgentIntervalMs;
	}

	/** Takes back the charge of a request that no target ran. */
	refund({organisation, cost, at}: QuotaCharge, now: Millis): void {
		this.#organisations.get(organisation)?.refund(cost, at, this.#clock.step(now));
	}

	/** Demand of the organisations with a notable use, for the entry's status. */
	demand(now: Millis): EntryDemand {
		const at = this.#clock.step(now);
		const notable = [];
		for (const quota of this.#active) {
			const used = quota.used(at);
			const refused = quota.refused(at);
			quota.recordReport(at);
			if (used + refused === 0) {
				this.#active.delete(quota);
			} else if ((used + refused) * this.#entries >= notableShare * quota.total) {
				notable.push({quota, share: (used + refused) / quota.total, refused});
			}
		}

		notable.sort((left, right) => right.share - left.share);
		const organisations = notable.slice(0, maxOrganisations).map(({quota, refused}) => {
			const scale = millionths / quota.total;
			return toUse(quota.name, {
				refused: refused * scale, recent: quota.recent(at) * scale, used: quota.byAge(partsOfUse, at).map(amount => amount * scale),
			});
		});
		const urgent = this.#surprising.size > 0;
		this.#surprising.clear();
		this.#reportedAt = at;
		return {
			run: this.#options.run, urgent: urgent || undefined, windowMs: this.#options.bounds.windowMs, organisations,
		};
	}

	/** Takes the sums over the other entries that a control node in touch with the others has sent. */
	update({entries, silent, ageMs, organisations}: QuotaFeed, now: Millis): void {
		const at = this.#clock.step(now);
		this.#entries = entries;
		this.#silent = silent;
		this.#updatedAt = at;
		for (const quota of this.#named) {
			quota.setOthers(undefined);
		}

		this.#named.clear();
		for (const use of organisations) {
			const quota = this.#organisations.get(use[0]);
			if (quota !== undefined) {
				quota.setOthers(use, at - ageMs as Millis);
				this.#named.add(quota);
			}
		}
	}

	#forget(name: OrganisationId): void {
		const quota = this.#organisations.get(name);
		if (quota !== undefined) {
			this.#organisations.delete(name);
			this.#active.delete(quota);
			this.#named.delete(quota);
			this.#surprising.delete(quota);
		}
	}
}
