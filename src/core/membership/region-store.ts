import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {AddressBook} from './address-book.ts';
import type {NodeInfo} from './node-info.ts';
import type {RegionSummary} from './region-summary.ts';

type StoredRegion = {
	readonly region: Region;
	/** The newest summary; absent until one was received. */
	sum?: RegionSummary;
	/** When the summary was made, on this node's clock. */
	madeAt: number;
	roundTripMs?: number;
	/** Newest version from each maker, to drop late summaries; at most `infoLimit`. */
	readonly versions: Map<NodeId, {incarnation: number; version: number}>;
	/** Known nodes of the region, least recently mentioned first; at most `infoLimit` besides the seeds. */
	readonly infos: Map<NodeId, NodeInfo>;
};

/** Age of the summary from which a region counts as unreachable, in milliseconds. */
const ageLimitMs = 6000;
/** Time since the other region last heard from this one from which messages to it count as lost, in milliseconds. */
const heardLimitMs = 8000;
/** Weight of a new sample in the smoothed round-trip time. */
const smoothing = 0.2;
/** Largest number of known nodes (besides the nodes that the settings name) and of makers kept for each other region. */
const infoLimit = 32;

/** Newest summary, round-trip time and known nodes of each other region. */
export class RegionStore {
	readonly #ownRegion: Region;
	readonly #book: AddressBook;
	readonly #regions = new Map<Region, StoredRegion>();

	constructor(ownRegion: Region, book: AddressBook) {
		this.#ownRegion = ownRegion;
		this.#book = book;
	}

	/** Adds a node of another region that the settings name. */
	addSeed(info: NodeInfo): void {
		this.#region(info.region).infos.set(info.nodeId, info);
	}

	/** Stores a summary if it is newer than the stored one; true if it was. */
	merge(summary: RegionSummary, now: Millis): boolean {
		if (summary.region === this.#ownRegion) {
			return false;
		}

		const stored = this.#region(summary.region);
		const madeAt = now - summary.ageMs;
		if (!this.#acceptVersion(stored, summary) || (stored.sum && madeAt <= stored.madeAt)) {
			return false;
		}

		stored.sum = summary;
		stored.madeAt = madeAt;
		if (summary.roundTripMs !== undefined) {
			stored.roundTripMs = summary.roundTripMs;
		}

		this.#storeInfos(stored, summary);
		return true;
	}

	/** Adds a sample to the smoothed round-trip time, in milliseconds. */
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

	/** Age of a region's summary in milliseconds; infinite if there is none. */
	age(region: Region, now: Millis): number {
		const stored = this.#regions.get(region);
		return stored?.sum ? now - stored.madeAt : Infinity;
	}

	/** True if the region's summary is recent and says that the region heard from this one recently: both directions work. */
	reachable(region: Region, now: Millis): boolean {
		const age = this.age(region, now);
		const heard = this.#regions.get(region)?.sum?.heard[this.#ownRegion] ?? Infinity;
		return age < ageLimitMs && heard + age < heardLimitMs;
	}

	/** Ages of all stored summaries in milliseconds, for `sumAges` in pings and `heard` in summaries. */
	ages(now: Millis): Record<string, number> {
		const ages: Record<string, number> = {};
		for (const [region, {sum}] of this.#regions) {
			if (sum) {
				ages[region] = Math.round(this.age(region, now));
			}
		}

		return ages;
	}

	/** Summaries that are newer than the given ages by at least `advanceMs`. */
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

	#storeInfos({infos}: StoredRegion, summary: RegionSummary): void {
		for (const {info} of summary.nodes) {
			infos.delete(info.nodeId);
			infos.set(info.nodeId, this.#book.resolve(info));
		}

		const extra = [...infos.keys()].filter(nodeId => !this.#book.isSeed(nodeId));
		for (const nodeId of extra.slice(0, Math.max(0, extra.length - infoLimit))) {
			infos.delete(nodeId);
		}
	}
}
