import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RegionLoad} from '../registry/region-load.ts';
import type {Prompt} from './prompt.ts';

/** Time to another region and back, in milliseconds, until it is measured. */
const initialRoundTripMs = 120;
/** Prompt tokens read in a millisecond by a middling engine. */
const typicalPrefillRate = 45;
/** Milliseconds of one call of a plain service at a region whose speed is not known. */
const typicalCallMs = 45;
/** Calls that a target of a plain service takes at once where its slots are not known. */
const typicalSlots = 6;
/** Time for which requests sent to a region count as not yet in its reported load, in milliseconds. */
const reportLagMs = 1500;
/** Time for which a region that refused or could not be reached gets nothing, in milliseconds. */
const avoidMs = 400;
/** Age from which on what is known of other regions is not used any more, in milliseconds. */
const maxLoadAgeMs = 10_000;

type SentRequest = {readonly at: Millis; readonly tokens: number};

/** A region that could take a request. */
type RegionCandidate = {readonly region: Region; readonly address: string; readonly startMs: number; readonly costMs: number};

/**
 * Chooses another region for a request.
 *
 * Answers peaks that come to one region after the other: what regions report of their load is a second old, so what
 * was sent there since is added to it, times the entries that are likely to do the same.
 */
export class RegionSelector {
	readonly #ownRegion: Region;
	#loads: readonly RegionLoad[] = [];
	#updatedAt = Number.NEGATIVE_INFINITY;
	readonly #recentSends = new Map<string, SentRequest[]>();
	readonly #avoidUntil = new Map<string, number>();
	#rotation = 0;

	constructor(own: Region) {
		this.#ownRegion = own;
	}

	/** Entries of the own region that place requests to model engines, at least this one. */
	get placingEntryCount(): number {
		return this.placers.length === 0 ? this.#ownEntryCount : this.placers.length;
	}

	/** Addresses of the entries that place the own region's requests to model engines; none if all do. */
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

	/** Entries of the whole deployment. */
	get entryCount(): number {
		return Math.max(1, this.#loads.reduce((sum, {entries}) => sum + entries, 0));
	}

	update(loads: readonly RegionLoad[], now: Millis): void {
		this.#loads = loads;
		this.#updatedAt = now;
	}

	/** The entry of the own region that places a prompt: requests with the same shared part come to the same one. */
	placer({service, prompt}: {service: ServiceName; prompt: Prompt}, now: Millis): {address: string; startMs: number} | undefined {
		if (this.#isStale(now)) {
			return undefined;
		}

		const address = this.#ranked(this.placers, prompt).find(candidate => !this.#isAvoided(candidate, service, now));
		const load = this.#ownLoad?.loads.find(entry => entry.service === service);
		return address === undefined || load === undefined ? undefined : {address, startMs: load.startMs + (prompt.promptTokens / typicalPrefillRate)};
	}

	/** Regions that could take a request, the soonest first. */
	candidates({service, homes, prompt}: {service: ServiceName; homes: readonly Region[]; prompt?: Prompt}, now: Millis): readonly RegionCandidate[] {
		if (this.#isStale(now)) {
			return [];
		}

		const candidates: RegionCandidate[] = [];
		for (const {region, hasPlacers, relayAddresses, loads} of this.#loads) {
			const allowed = region !== this.#ownRegion && (homes.length === 0 || homes.includes(region));
			const load = loads.find(entry => entry.service === service);
			const addresses = relayAddresses.filter(address => !this.#isAvoided(address, service, now));
			if (!allowed || load === undefined || load.targets === 0 || addresses.length === 0) {
				continue;
			}

			const sentTokens = this.#sentTokens(region, service, now) * (prompt === undefined ? this.#ownEntryCount : this.placingEntryCount);
			const serviceMs = prompt === undefined ? typicalCallMs : prompt.promptTokens / typicalPrefillRate;
			const queuedMs = prompt === undefined ? sentTokens * typicalCallMs / load.targets / typicalSlots : sentTokens / typicalPrefillRate / load.targets;
			this.#rotation += 1;
			const address = hasPlacers && prompt !== undefined ? this.#ranked(addresses, prompt)[0]! : addresses[this.#rotation % addresses.length]!;
			const startMs = initialRoundTripMs + load.startMs + queuedMs + serviceMs;
			candidates.push({
				region, address, startMs, costMs: startMs + load.extraMs,
			});
		}

		return candidates.sort((left, right) => left.costMs - right.costMs);
	}

	recordSent({region, service, prompt}: {region: Region; service: ServiceName; prompt?: Prompt}, now: Millis): void {
		const key = `${region} ${service}`;
		const sent = (this.#recentSends.get(key) ?? []).filter(({at}) => now - at < reportLagMs);
		sent.push({at: now, tokens: prompt?.promptTokens ?? 1});
		this.#recentSends.set(key, sent);
	}

	/** An entry of a region refused a request of the service, or could not be reached. */
	avoidEntry(address: string, service: ServiceName, now: Millis): void {
		this.#avoidUntil.set(`${address} ${service}`, now + avoidMs);
	}

	/** Addresses by rendezvous hashing over a prompt's last shared part. */
	#ranked(addresses: readonly string[], {parts}: Prompt): readonly string[] {
		const key = parts.at(-2)?.id ?? parts.at(-1)?.id ?? '';
		const ranks = new Map(addresses.map(address => [address, hash32(`${key}:${address}`)]));
		return addresses.toSorted((left, right) => ranks.get(left)! - ranks.get(right)!);
	}

	/** Without control nothing tells which entries still run. */
	#isStale(now: Millis): boolean {
		return now - this.#updatedAt > maxLoadAgeMs;
	}

	#isAvoided(address: string, service: ServiceName, now: Millis): boolean {
		return (this.#avoidUntil.get(`${address} ${service}`) ?? 0) > now;
	}

	#sentTokens(region: Region, service: ServiceName, now: Millis): number {
		let sum = 0;
		for (const {at, tokens} of this.#recentSends.get(`${region} ${service}`) ?? []) {
			sum += now - at < reportLagMs ? tokens : 0;
		}

		return sum;
	}
}
