import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {AddressBook} from './address-book.ts';
import type {NodeInfo} from './node-info.ts';
import type {RegionSummary} from './region-summary.ts';

type StoredRegion = {
	readonly region: Region;
	/** The newest sums; absent until some were heard. */
	sum?: RegionSummary;
	/** When they were made, on this node's clock. */
	madeAt: number;
	roundTripMs?: number;
	/** Newest sums of each maker, to drop late ones. */
	readonly versions: Map<NodeId, {incarnation: number; version: number}>;
	/** Nodes of the region heard of, by last mention; bounded. */
	readonly infos: Map<NodeId, NodeInfo>;
};

/** Sums older than this make a region unreachable, in milliseconds. */
const ageLimitMs = 6000;
/** If the other region last heard of this one longer ago than this, nothing gets there, in milliseconds. */
const heardLimitMs = 8000;
/** Share of a new sample in the smoothed round trip. */
const smoothing = 0.2;
/** Nodes remembered of another region, beside those of the settings. */
const infoLimit = 32;

/** What this node knows of the other regions. */
export class RegionStore {
	readonly #ownRegion: Region;
	readonly #book: AddressBook;
	readonly #regions = new Map<Region, StoredRegion>();

	constructor(own: Region, book: AddressBook) {
		this.#ownRegion = own;
		this.#book = book;
	}

	/** Adds a node of another region that the settings name. */
	addSeed(info: NodeInfo): void {
		this.#region(info.region).infos.set(info.nodeId, info);
	}

	/** Takes sums that are newer than those kept; true if they were. */
	merge(sum: RegionSummary, now: Millis): boolean {
		if (sum.region === this.#ownRegion) {
			return false;
		}

		const stored = this.#region(sum.region);
		const madeAt = now - sum.ageMs;
		if (!this.#acceptVersion(stored, sum) || (stored.sum && madeAt <= stored.madeAt)) {
			return false;
		}

		stored.sum = sum;
		stored.madeAt = madeAt;
		if (sum.roundTripMs !== undefined) {
			stored.roundTripMs = sum.roundTripMs;
		}

		this.#storeInfos(stored, sum);
		return true;
	}

	/** Adds a sample of the round trip to a region. */
	addRoundTripSample(region: Region, sampleMs: number): void {
		const stored = this.#region(region);
		const last = stored.roundTripMs;
		stored.roundTripMs = last === undefined ? sampleMs : last + (smoothing * (sampleMs - last));
	}

	regions(): Region[] {
		return [...this.#regions.keys()];
	}

	get(region: Region): StoredRegion | undefined {
		return this.#regions.get(region);
	}

	info(nodeId: NodeId): NodeInfo | undefined {
		for (const {infos} of this.#regions.values()) {
			const info = infos.get(nodeId);
			if (info) {
				return info;
			}
		}

		return undefined;
	}

	/** Milliseconds since a region's sums were made; infinite if none were heard. */
	age(region: Region, now: Millis): number {
		const stored = this.#regions.get(region);
		return stored?.sum ? now - stored.madeAt : Infinity;
	}

	/** True if sums came lately and the region says that it heard of this one lately. */
	reachable(region: Region, now: Millis): boolean {
		const age = this.age(region, now);
		const heard = this.#regions.get(region)?.sum?.heard[this.#ownRegion] ?? Infinity;
		return age < ageLimitMs && heard + age < heardLimitMs;
	}

	/** Ages of all sums, for pings and for `heard`. */
	ages(now: Millis): Record<string, number> {
		const ages: Record<string, number> = {};
		for (const [region, {sum}] of this.#regions) {
			if (sum) {
				ages[region] = Math.round(this.age(region, now));
			}
		}

		return ages;
	}

	/** Sums that are newer than the given ages by at least `advanceMs`. */
	newerThan(ages: Readonly<Record<string, number>>, advanceMs: number, now: Millis): RegionSummary[] {
		const newer: RegionSummary[] = [];
		for (const [region, {sum, roundTripMs}] of this.#regions) {
			const age = this.age(region, now);
			if (sum && age < ageLimitMs && (ages[region] ?? Infinity) - age >= advanceMs) {
				newer.push({...sum, ageMs: Math.round(age), roundTripMs});
			}
		}

		return newer;
	}

	#region(region: Region): StoredRegion {
		const stored = this.#regions.get(region)
			?? {
				region, madeAt: 0, versions: new Map(), infos: new Map(),
			};
		this.#regions.set(region, stored);
		return stored;
	}

	#acceptVersion(stored: StoredRegion, {maker, makerIncarnation, version}: RegionSummary): boolean {
		const last = stored.versions.get(maker);
		if (last && (makerIncarnation < last.incarnation || (makerIncarnation === last.incarnation && version <= last.version))) {
			return false;
		}

		stored.versions.delete(maker);
		stored.versions.set(maker, {incarnation: makerIncarnation, version});
		if (stored.versions.size > infoLimit) {
			stored.versions.delete([...stored.versions.keys()][0]!);
		}

		return true;
	}

	#storeInfos({infos}: StoredRegion, sum: RegionSummary): void {
		for (const {info} of sum.nodes) {
			infos.delete(info.nodeId);
			infos.set(info.nodeId, this.#book.resolve(info));
		}

		const extra = [...infos.keys()].filter(nodeId => !this.#book.isSeed(nodeId));
		for (const nodeId of extra.slice(0, Math.max(0, extra.length - infoLimit))) {
			infos.delete(nodeId);
		}
	}
}
