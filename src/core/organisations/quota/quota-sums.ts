import type {Millis} from '../../ids/millis.ts';
import type {NodeId} from '../../ids/node-id.ts';
import type {OrganisationId} from '../../ids/organisation-id.ts';
import type {EntryDemand} from './entry-demand.ts';
import type {QuotaFeed} from './quota-feed.ts';
import {partsOfUse} from './parts-of-use.ts';
import {ReportedUse} from './reported-use.ts';
import {toUse} from './to-use.ts';

/** Silence after which an entry may be cut off, in milliseconds: five status intervals. */
const silentAfterMs = 2500;
/** Time for which a silent entry keeps its safe share, in milliseconds; one that is cut off for longer gives it up before (`QuotaGate`). */
const silentShareMs = 60_000;
/** Smallest use at other entries that an entry is told, in millionths of the quota. */
const notableUse = 10_000;
/** Age up to which the sums are used again for other feeds, in milliseconds: summing all entries for each status would cost the square of their number. */
const sumsMaxAgeMs = 100;
/** Most organisations that a feed names. */
const maxOrganisations = 64;

type Report = {readonly at: Millis; readonly left: boolean; readonly run: number; readonly uses: ReadonlyMap<OrganisationId, ReportedUse>};

type Total = {refused: number; recent: number; readonly used: number[]};
type Sums = {readonly at: Millis; readonly totals: Map<OrganisationId, Total>};

/**
 * Sums the demand that entries report, at a control node.
 *
 * Load pattern: an organisation's requests come at all entries at once, or move between them within a second. Reports reach this node 0 to 0.6 s late;
 * each is moved on to the present. The use of an entry that restarted or stopped counts until it has left the window.
 */
export class QuotaSums {
	/** Length of the window, from the reports; 0 until one has come, and where no entry has quotas. */
	#windowMs = 0;
	readonly #entries = new Map<NodeId, Report>();
	/** Reports of earlier runs of entries. */
	#earlier: Report[] = [];
	/** Sums at a moment ago; reports that came since are included. */
	#sums: Sums | undefined;

	/** Takes a report that was sent `ageMs` ago, unless a newer one is known. `left` is true for an entry that stops. */
	record(nodeId: NodeId, demand: EntryDemand | undefined, {ageMs = 0, left = false}: {ageMs?: number; left?: boolean}, now: Millis): void {
		const at = now - ageMs as Millis;
		const known = this.#entries.get(nodeId);
		if (known !== undefined && known.at > at) {
			return;
		}

		const run = demand?.run ?? 0;
		if (known !== undefined && known.run !== run && known.uses.size > 0) {
			this.#earlier.push(known);
		}

		const windowMs = demand?.windowMs ?? this.#windowMs;
		this.#windowMs = windowMs;
		const report = {
			at, left, run, uses: new Map(demand?.organisations.map(use => [use[0], new ReportedUse(use, {at, windowMs})])),
		};
		this.#entries.set(nodeId, report);
		if (this.#sums !== undefined) {
			if (known?.run === run) {
				addTo(this.#sums, known, -1);
			}

			addTo(this.#sums, report, 1);
		}
	}

	tick(now: Millis): void {
		this.#earlier = this.#earlier.filter(({at}) => now - at <= this.#windowMs);
		for (const [nodeId, {at, left}] of this.#entries) {
			if (now - at > (left ? this.#windowMs : silentShareMs)) {
				this.#entries.delete(nodeId);
			}
		}
	}

	/** Use at all entries but one; undefined if no entry has quotas. */
	feedFor(nodeId: NodeId, now: Millis): QuotaFeed | undefined {
		if (this.#windowMs === 0) {
			return undefined;
		}

		const {at, totals} = this.#currentSums(now);
		const own = this.#entries.get(nodeId);
		const notable = [];
		for (const [organisation, {refused, recent, used}] of totals) {
			const use = own?.uses.get(organisation);
			const ownUsed = use?.byAge(at);
			const others = used.map((amount, index) => Math.max(0, amount - (ownUsed?.[index] ?? 0)));
			const othersRefused = Math.max(0, refused - (use?.refused ?? 0));
			const othersRecent = Math.max(0, recent - (use?.recent ?? 0));
			const sum = others.reduce((left, right) => left + right, othersRefused);
			if (sum >= notableUse) {
				notable.push({sum, use: toUse(organisation, {refused: othersRefused, recent: othersRecent, used: others})});
			}
		}

		notable.sort((left, right) => right.sum - left.sum);
		return {...this.#countEntries(now), ageMs: Math.round(now - at), organisations: notable.slice(0, maxOrganisations).map(({use}) => use)};
	}

	#countEntries(now: Millis): {entries: number; silent: number} {
		let entries = 0;
		let silent = 0;
		for (const {at, left} of this.#entries.values()) {
			entries += left ? 0 : 1;
			silent += !left && now - at > silentAfterMs ? 1 : 0;
		}

		return {entries: Math.max(1, entries), silent};
	}

	#currentSums(now: Millis): Sums {
		if (this.#sums === undefined || now - this.#sums.at > sumsMaxAgeMs) {
			this.#sums = {at: now, totals: new Map()};
			for (const report of [...this.#entries.values(), ...this.#earlier]) {
				addTo(this.#sums, report, 1);
			}
		}

		return this.#sums;
	}
}

/** Adds a report's use, or with `sign` -1 takes it back. */
function addTo({at, totals}: {at: Millis; totals: Map<OrganisationId, Total>}, {uses}: Report, sign: 1 | -1): void {
	for (const [organisation, use] of uses) {
		let total = totals.get(organisation);
		if (total === undefined) {
			total = {refused: 0, recent: 0, used: Array.from({length: partsOfUse}, () => 0)};
			totals.set(organisation, total);
		}

		total.refused += sign * use.refused;
		total.recent += sign * use.recent;
		for (const [index, amount] of use.byAge(at).entries()) {
			total.used[index]! += sign * amount;
		}
	}
}
