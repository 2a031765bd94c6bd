import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {RegionStore} from './region-store.ts';
import {sample} from './sample.ts';

type RegionExchangeOptions = {
	readonly store: RegionStore;
	readonly random: Random;
};

/** Interval between exchanges with a region, in milliseconds. */
const periodMs = 1000;
/** Nodes that contact a region which is unreachable. */
const unreachableDelegates = 6;
/** Age of a region's summary below which the exchange is skipped, in milliseconds: the other side has just started one. */
const recentMs = 600;
/** Age of a region's summary above which more nodes take part and each uses two contacts, in milliseconds. */
const staleMs = 3500;
/** Interval at which further nodes take part while a summary is stale, in milliseconds. */
const escalationMs = 1000;
/** Number of further nodes that take part after each such interval. */
const delegatesPerEscalation = 2;
/** Share of exchanges that go to any known node of the region instead of an entry of its newest summary. */
const explorationRate = 0.25;

/** Decides when this node exchanges summaries with other regions, and with which of their nodes. */
export class RegionExchangeSchedule {
	readonly #store: RegionStore;
	readonly #random: Random;
	#nextAt: number | undefined;

	constructor({store, random}: RegionExchangeOptions) {
		this.#store = store;
		this.#random = random;
	}

	/** Returns the nodes to send this region's summary to; `rank` gives this node's rank among the delegates for a region. */
	tick(rank: (region: Region) => number, now: Millis): NodeId[] {
		this.#nextAt ??= now + (this.#random.next() * periodMs / 4);
		if (now < this.#nextAt) {
			return [];
		}

		this.#nextAt = now + periodMs;
		return this.#store.regions()
			.filter(region => rank(region) < this.#delegateCount(region, now))
			.flatMap(region => this.#contacts(region, now));
	}

	/** The older the region's summary, the more nodes take part: single links between the two regions may be broken. */
	#delegateCount(region: Region, now: Millis): number {
		const age = this.#store.age(region, now);
		if (!this.#store.reachable(region, now)) {
			return unreachableDelegates;
		}

		if (age < recentMs) {
			return 0;
		}

		const escalations = Math.max(0, Math.ceil((age - staleMs) / escalationMs));
		return 1 + (delegatesPerEscalation * escalations);
	}

	#contacts(region: Region, now: Millis): NodeId[] {
		const stored = this.#store.get(region)!;
		const known = [...stored.infos.keys()];
		const listed = stored.sum?.entries ?? [];
		const stale = this.#store.age(region, now) > staleMs;
		const explore = stale || listed.length === 0 || this.#random.next() < explorationRate;
		return sample(explore ? known : listed, stale ? 2 : 1, this.#random);
	}
}
