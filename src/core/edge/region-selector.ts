import {hash32} from '../common/hash32.ts';
import {CostBook} from '../cost/cost-book.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RegionLoad} from '../registry/region-load.ts';
import {HeldMaximum} from './held-maximum.ts';
import {mayContinueAt} from './may-continue-at.ts';
import type {Prompt} from './prompt.ts';
import type {StreamOrigin} from './stream-origin.ts';

/** Assumed round trips to a remote region, and to another entry of the own one, in milliseconds. */
const assumedRoundTripMs = 120;
const ownRegionRoundTripMs = 5;
/** Time for which requests sent to a region are not yet included in its reported load, in milliseconds. */
const reportLagMs = 1500;
/** Time for which an entry that refused a request or could not be reached is avoided, in milliseconds. */
const avoidMs = 400;
/** Age from which on the reported loads of regions are no longer used, in milliseconds. */
const maxLoadAgeMs = 10_000;

/** Time for which a smaller number of entries of the own region is not relied on, in milliseconds. */
const entryCountHoldMs = 5000;
/** The same for the entries of the whole deployment, in milliseconds: longer than regions are cut off from each other. */
const deploymentCountHoldMs = 600_000;

/** A request sent to a remote region; `tokens` is the length of its prompt, or 1 for a call of a plain service. */
type SentRequest = {readonly at: Millis; readonly tokens: number};

/** A region that could take a request: the entry to forward it to, the predicted time to its start and the cost, in milliseconds. */
type RegionCandidate = {readonly region: Region; readonly address: string; readonly startMs: number; readonly costMs: number};

type CandidateQuery = {
	readonly service: ServiceName;
	/** Regions that may serve the request; undefined if all may. */
	readonly homes: readonly Region[] | undefined;
	readonly prompt?: Prompt;
	readonly origin?: StreamOrigin;
	/** @default false */
	readonly withOwn?: boolean;
};

/**
 * Selects remote regions for requests, and other entries of the own region: the placer for prompts, and any that can
 * reach the targets if this entry can't.
 *
 * Peaks move from one region to the next, and reported loads of regions are about a second old. The requests that this
 * entry has sent to a region since are therefore added to its load, multiplied by the number of entries that are
 * likely to do the same.
 */
export class RegionSelector {
	readonly #ownRegion: Region;
	/** Address at which other entries forward requests to this one. */
	readonly #ownAddress: string;
	readonly #costs: CostBook;
	#loads: readonly RegionLoad[] = [];
	/** Numbers of the own region's entries in the last `entryCountHoldMs`. */
	#recentCounts: ReadonlyArray<{readonly at: Millis; readonly placing: number; readonly all: number}> = [];
	#updatedAt = Number.NEGATIVE_INFINITY;
	readonly #deploymentCounts = new HeldMaximum(deploymentCountHoldMs);
	// eslint-disable-next-line no-restricted-syntax -- by region and service
	readonly #recentSends = new Map<string, SentRequest[]>();
	// eslint-disable-next-line no-restricted-syntax -- by entry and service
	readonly #avoidUntil = new Map<string, number>();
	#rotation = 0;

	/** @param options - `costs`: those of the services, from which work in other regions is predicted. */
	constructor(own: {readonly region: Region; readonly relayAddress: string}, {costs = new CostBook()}: {readonly costs?: CostBook} = {}) {
		this.#costs = costs;
		this.#ownRegion = own.region;
		this.#ownAddress = own.relayAddress;
	}

	/** Number of entries of the own region that place requests to model engines, at least 1. */
	get placingEntryCount(): number {
		return this.placers.length === 0 ? this.#ownEntryCount : this.placers.length;
	}

	/** Addresses of the own region's placers, the entries that place its requests to model engines; empty if every entry does. */
	get placers(): readonly string[] {
		const own = this.#ownLoad;
		return own?.hasPlacers ? own.relayAddresses : [];
	}

	get #ownEntryCount(): number {
		return Math.max(1, this.#ownLoad?.entries ?? 1);
	}

	get #ownLoad(): RegionLoad | undefined {
		return this.#loads.find(({region}) => region === this.#ownRegion);
	}

	/** Number of entries of the own region that send prompts, or calls, to its targets, at least 1: the largest one lately, since control nodes that start anew know few entries at first. */
	limitEntries(prompts: boolean): number {
		return Math.max(...this.#recentCounts.map(({placing, all}) => prompts ? placing : all), prompts ? this.placingEntryCount : this.#ownEntryCount);
	}

	/** Number of entries of the whole deployment, at least 1: the largest one lately, since a control node that starts, or is cut off from other regions, knows few. Undefined until a control node that was up to date has told it. */
	entryCount(now: Millis): number | undefined {
		return this.#deploymentCounts.largest(now);
	}

	/** Takes the loads of a feed; `current` is true if its control node is up to date with the replicated log. */
	update(loads: readonly RegionLoad[], {current}: {current: boolean}, now: Millis): void {
		this.#loads = loads;
		this.#costs.update(loads, this.#ownRegion);
		if (current) {
			this.#deploymentCounts.record(Math.max(1, loads.reduce((sum, {entries}) => sum + entries, 0)), now);
		}

		this.#updatedAt = now;
		this.#recentCounts = [...this.#recentCounts.filter(({at}) => now - at <= entryCountHoldMs), {at: now, placing: this.placingEntryCount, all: this.#ownEntryCount}];
	}

	/** The placer of the own region for a prompt: prompts with the same shared part get the same one. Undefined if there is none, all are avoided, or the region's load is unknown or too old. */
	placer({service, prompt}: {service: ServiceName; prompt: Prompt}, now: Millis): {address: string; startMs: number} | undefined {
		if (this.#isStale(now)) {
			return undefined;
		}

		const address = this.#ranked(this.placers, prompt).find(candidate => !this.#isAvoided(candidate, service, now));
		const load = this.#ownLoad?.loads.find(serviceLoad => serviceLoad.service === service);
		return address === undefined || load === undefined ? undefined : {address, startMs: load.startMs + (prompt.promptTokens * this.#prefillMs(service))};
	}

	/** Remote regions that could take a request, or go on with the stream of that origin, the cheapest first; `withOwn` adds the other entries of the own region. */
	candidates({service, homes, prompt, origin, withOwn = false}: CandidateQuery, now: Millis): readonly RegionCandidate[] {
		if (this.#isStale(now)) {
			return [];
		}

		const candidates: RegionCandidate[] = [];
		const allowed = this.#loads.filter(({region}) => (withOwn || region !== this.#ownRegion) && (homes?.includes(region) ?? true));
		for (const {region, hasPlacers, relayAddresses, loads} of allowed) {
			const load = loads.find(serviceLoad => serviceLoad.service === service);
			const addresses = relayAddresses.filter(address => address !== this.#ownAddress && !this.#isAvoided(address, service, now));
			const mayContinue = origin === undefined || load?.softwareVersions?.some(softwareVersion => mayContinueAt(origin, softwareVersion)) === true;
			if (load === undefined || load.targets === 0 || addresses.length === 0 || !mayContinue) {
				continue;
			}

			const {typicalSlots} = this.#costs.of(service);
			const unitMs = prompt === undefined ? this.#callMs(service) : this.#prefillMs(service);
			const serviceMs = unitMs * (prompt?.promptTokens ?? 1);
			const senders = prompt === undefined ? this.#ownEntryCount : this.placingEntryCount;
			// A guess of what others do at the same time: it spreads requests over the regions, but refuses none.
			const queuedMs = this.#unreportedTokens(region, service, now) * senders * unitMs / load.targets / (prompt === undefined ? typicalSlots : 1);
			this.#rotation += 1;
			const address = hasPlacers && prompt !== undefined ? this.#ranked(addresses, prompt)[0]! : addresses[this.#rotation % addresses.length]!;
			const startMs = (region === this.#ownRegion ? ownRegionRoundTripMs : assumedRoundTripMs) + load.startMs + serviceMs;
			candidates.push({
				region, address, startMs, costMs: startMs + queuedMs + load.extraMs,
			});
		}

		return candidates.sort((left, right) => left.costMs - right.costMs);
	}

	recordSent({region, service, prompt}: {region: Region; service: ServiceName; prompt?: Prompt}, now: Millis): void {
		const key = `${region} ${service}`;
		const sent = (this.#recentSends.get(key) ?? []).filter(({at}) => now - at < 2 * reportLagMs);
		sent.push({at: now, tokens: prompt?.promptTokens ?? 1});
		this.#recentSends.set(key, sent);
	}

	/** Avoids an entry for requests of a service for a while, after it refused one or could not be reached. */
	avoidEntry(address: string, service: ServiceName, now: Millis): void {
		this.#avoidUntil.set(`${address} ${service}`, now + avoidMs);
	}

	/** Addresses ordered by rendezvous hashing over a prompt's last shared part. */
	#ranked(addresses: readonly string[], {parts}: Prompt): readonly string[] {
		const key = parts.at(-2)?.id ?? parts.at(-1)?.id ?? '';
		const ranks = new Map(addresses.map(address => [address, hash32(`${key}:${address}`)]));
		return addresses.toSorted((left, right) => ranks.get(left)! - ranks.get(right)!);
	}

	/** True if the loads are too old: without control it is unknown which entries still run. */
	#isStale(now: Millis): boolean {
		return now - this.#updatedAt > maxLoadAgeMs;
	}

	/** Predicted time to prefill a prompt token, and duration of a call, at a target whose measurements are unknown. */
	#prefillMs(service: ServiceName): number {
		return this.#costs.of(service).prefillMs.at(1) ?? 0;
	}

	#callMs(service: ServiceName): number {
		return this.#costs.of(service).callMs.at(1) ?? 0;
	}

	#isAvoided(address: string, service: ServiceName, now: Millis): boolean {
		return (this.#avoidUntil.get(`${address} ${service}`) ?? 0) > now;
	}

	/** Tokens sent to a region that its reported load does not include: those by which the last period of `reportLagMs` exceeds the one before, since the load includes a steady rate. */
	#unreportedTokens(region: Region, service: ServiceName, now: Millis): number {
		let sum = 0;
		for (const {at, tokens} of this.#recentSends.get(`${region} ${service}`) ?? []) {
			const ageMs = now - at;
			sum += ageMs < reportLagMs ? tokens : (ageMs < 2 * reportLagMs ? -tokens : 0);
		}

		return Math.max(0, sum);
	}
}
