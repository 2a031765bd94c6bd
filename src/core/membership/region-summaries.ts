import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {AddressBook} from './address-book.ts';
import type {MembershipMessage} from './membership-message.ts';
import type {NodeInfo} from './node-info.ts';
import {ownRegion} from './own-region.ts';
import {RegionExchangeSchedule} from './region-exchange-schedule.ts';
import type {RegionNode} from './region-node.ts';
import {RegionStore} from './region-store.ts';
import type {RegionSummary} from './region-summary.ts';
import type {RegionView} from './region-view.ts';
import {sample} from './sample.ts';

type RegionSummariesOptions = {
	readonly region: Region;
	readonly book: AddressBook;
	readonly outbox: Outbox;
	readonly random: Random;
};

/** Current state of this node's region. */
type OwnRegionState = {
	readonly self: NodeInfo;
	/** Live nodes, `self` included. */
	readonly nodes: readonly RegionNode[];
	readonly services: readonly ServiceSummary[];
};

type SummaryMessage = Extract<MembershipMessage, {type: 'region-sum' | 'region-sum-reply'}>;

/** A summary is relayed inside the region only if it is newer than the receiver's by at least this much, in milliseconds. */
const advanceMs = 1200;
/** Added to `advanceMs` for each node of the region, in milliseconds. */
const advancePerNodeMs = 12;

/** Shortest time between two summaries that this node relays inside its region, in milliseconds. */
const relayPauseMs = 300;

/** Exchanges summaries with other regions and relays theirs inside this one. */
export class RegionSummaries {
	readonly #region: Region;
	readonly #book: AddressBook;
	readonly #outbox: Outbox;
	readonly #random: Random;
	readonly #store: RegionStore;
	readonly #schedule: RegionExchangeSchedule;
	#version = 0;
	#nextRelayAt = 0;

	constructor({region, book, outbox, random}: RegionSummariesOptions) {
		this.#region = region;
		this.#book = book;
		this.#outbox = outbox;
		this.#random = random;
		this.#store = new RegionStore(region, book);
		this.#schedule = new RegionExchangeSchedule({store: this.#store, random});
	}

	/** Adds a node of another region that the settings name. */
	addSeed(seed: NodeInfo): void {
		this.#store.addSeed(seed);
	}

	/** Sends this region's summary to the other regions for which this node is a delegate now. */
	tick(own: OwnRegionState, now: Millis): void {
		const contacts = this.#schedule.tick(region => ownRegion.delegateRank(own.nodes, own.self.nodeId, region), now);
		if (contacts.length === 0) {
			return;
		}

		const sum = this.#summarize(own, now);
		for (const contact of contacts) {
			this.#send(contact, {type: 'region-sum', sum, sentAt: now});
		}
	}

	/** Stores another region's summary and replies with this region's. */
	handle(from: NodeId, message: SummaryMessage, own: OwnRegionState, now: Millis): void {
		const {sum, sentAt} = message;
		if (message.type === 'region-sum-reply') {
			this.#store.addRoundTripSample(sum.region, now - sentAt);
		}

		const transitMs = (this.#store.get(sum.region)?.roundTripMs ?? 0) / 2;
		this.#store.merge({...sum, ageMs: sum.ageMs + transitMs, roundTripMs: undefined}, now);
		if (message.type === 'region-sum') {
			this.#send(from, {type: 'region-sum-reply', sum: this.#summarize(own, now), sentAt});
		}
	}

	/** Stores summaries relayed by a node of this region. */
	mergeRelayed(summaries: readonly RegionSummary[], now: Millis): void {
		for (const summary of summaries) {
			this.#store.merge(summary, now);
		}
	}

	/** At most one summary to relay to a node of this region whose summaries have the given ages; rate-limited. */
	newerThan(ages: Readonly<Record<string, number>>, nodeCount: number, now: Millis): readonly RegionSummary[] {
		if (now < this.#nextRelayAt) {
			return [];
		}

		const newer = this.#store.newerThan(ages, advanceMs + (advancePerNodeMs * nodeCount), now);
		if (newer.length > 0) {
			this.#nextRelayAt = now + relayPauseMs;
		}

		return sample(newer, 1, this.#random);
	}

	/** Age of each region's summary, in milliseconds. */
	ages(now: Millis): Readonly<Record<string, number>> {
		return this.#store.ages(now);
	}

	info(nodeId: NodeId): NodeInfo | undefined {
		return this.#store.info(nodeId);
	}

	/** The node with the highest settings revision in each other region. */
	highest(): ReadonlyArray<{nodeId: NodeId; revision: number}> {
		return this.#store.regions()
			.map(region => this.#store.get(region)?.sum?.highest)
			.filter(highest => highest !== undefined);
	}

	/** Views of the other regions. */
	views(now: Millis): readonly RegionView[] {
		return this.#store.regions().map(region => this.view(region, now)!);
	}

	view(region: Region, now: Millis): RegionView | undefined {
		const stored = this.#store.get(region);
		if (!stored) {
			return undefined;
		}

		const {sum, roundTripMs = 0} = stored;
		return {
			region,
			reachable: this.#store.reachable(region, now),
			ageMs: this.#store.age(region, now),
			revision: sum?.revision ?? 0,
			entries: sum?.entries ?? [],
			candidates: (sum?.nodes ?? [])
				.filter(({info}) => sum?.candidates.includes(info.nodeId))
				.map(node => ({...node, info: this.#book.resolve(node.info), state: 'alive'})),
			services: sum?.services ?? [],
			roundTripMs,
		};
	}

	/** View of this node's own region. */
	ownView({nodes, services}: OwnRegionState): RegionView {
		const entries = nodes.filter(({info, draining}) => info.roles.includes('entry') && !draining);
		return {
			region: this.#region,
			reachable: true,
			ageMs: 0,
			revision: ownRegion.lowestRevision(nodes),
			entries: entries.map(({info}) => info.nodeId),
			candidates: ownRegion.keeperCandidates(nodes).map(node => ({...node, state: 'alive'})),
			services,
			roundTripMs: 0,
		};
	}

	#summarize({self, nodes, services}: OwnRegionState, now: Millis): RegionSummary {
		this.#version += 1;
		return ownRegion.summarize({
			nodes, self, version: this.#version, services, heard: this.#store.ages(now), random: this.#random,
		});
	}

	#send(to: NodeId, body: MembershipMessage): void {
		this.#outbox.send(to, {part: 'membership', body});
	}
}
