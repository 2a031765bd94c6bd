import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {OrganisationId} from '../../../src/core/ids/organisation-id.ts';
import type {EntryDemand} from '../../../src/core/organisations/quota/entry-demand.ts';
import {quotaAllowance} from '../../../src/core/organisations/quota/quota-allowance.ts';
import {QuotaGate} from '../../../src/core/organisations/quota/quota-gate.ts';
import {QuotaSums} from '../../../src/core/organisations/quota/quota-sums.ts';
import type {SimulatedOrganisation} from './simulated-organisation.ts';

const stepMs = 10;
const statusMs = 500;
const hopMs = 2;
const regionHopMs = 55;
const regions = 3;
const bounds = {windowMs: 8000, overage: 0.1, slack: 140_000};

type Fault = {readonly at: number; readonly until: number; readonly entry?: number; readonly kind: 'stall' | 'restart' | 'cut' | 'step'};
type Gate = Pick<QuotaGate, 'admit' | 'demand' | 'update' | 'setQuotas' | 'tick' | 'mustReport'>;
type Entry = {gate: Gate; readonly nodeId: NodeId; readonly region: number; down: boolean; clockOffset: number; reportedAt: number};
type Usage = {asked: number; refused: number; readonly sent: Array<readonly [number, number]>; readonly askedLog: Array<readonly [number, number]>; askedFrom: number; askedSum: number};

type SimulationOptions = {
	readonly entries: number;
	readonly organisations: readonly SimulatedOrganisation[];
	readonly seed: number;
	readonly durationMs?: number;
	readonly faults?: readonly Fault[];
	/** False if demand that rises is reported with the regular statuses only. */
	readonly urgentReports?: boolean;
	readonly createGate?: (run: number) => Gate;
};

type SimulationResult = {
	/** Largest sum of a window divided by its bound. */
	readonly worstWindow: number;
	readonly asked: number;
	readonly refused: number;
	/** Units sent in each second of the second half, as a share of the quota's rate. */
	readonly served: number;
};

/** Plays the requests of organisations at entries in three regions, with the ages that statuses, gossip and feeds have. */
export function simulateQuotas({entries: count, organisations, seed, durationMs = 30_000, faults = [], urgentReports = true, createGate = run => new QuotaGate({bounds, run, random: new SeededRandom(run)})}: SimulationOptions): readonly SimulationResult[] {
	const random = new SeededRandom(seed);
	const startMs = 1000;
	const names = organisations.map((_, index) => `org-${index}` as OrganisationId);
	const create = () => {
		const gate = createGate(Math.floor(random.next() * 1e9));
		gate.setQuotas(organisations.map(({quota}, index) => ({name: names[index]!, quota})));
		return gate;
	};

	const entries = Array.from({length: count}, (_, index): Entry => ({
		gate: create(), nodeId: `entry-${index}` as NodeId, region: index % regions, down: false, clockOffset: 0, reportedAt: 1000 - (Math.floor(random.next() * statusMs / stepMs) * stepMs),
	}));
	const controls = Array.from({length: regions}, () => ({
		sums: new QuotaSums(), heard: new Map<NodeId, {demand: EntryDemand; at: number}>(), urgent: false, pushedAt: 0, gossipAt: 1000 - (Math.floor(random.next() * statusMs / stepMs) * stepMs),
	}));
	const usages = organisations.map((): Usage => ({
		asked: 0, refused: 0, sent: [], askedLog: [], askedFrom: 0, askedSum: 0,
	}));
	const later = new Map<number, Array<() => void>>();
	const at = (ms: number, run: () => void) => {
		const slot = Math.ceil(ms / stepMs) * stepMs;
		later.set(slot, [...later.get(slot) ?? [], run]);
	};

	const sendFeed = (control: (typeof controls)[number], entry: Entry, now: Millis) => {
		const feed = control.sums.feedFor(entry.nodeId, now)!;
		const current = !isCut(entry.region, now - startMs);
		at(now + hopMs, () => {
			if (current && !entry.down) {
				entry.gate.update(feed, now + stepMs + entry.clockOffset as Millis);
			}
		});
	};

	const pushFeeds = (region: number, now: Millis) => {
		const control = controls[region]!;
		if (now - control.pushedAt >= 100) {
			control.pushedAt = now;
			for (const entry of entries) {
				if (entry.region === region) {
					sendFeed(control, entry, now);
				}
			}
		}
	};

	const isCut = (region: number, ms: number) => region === 0 && faults.some(fault => fault.kind === 'cut' && ms >= fault.at && ms < fault.until);
	for (let ms = startMs; ms < startMs + durationMs; ms += stepMs) {
		const elapsed = ms - startMs;
		for (const fault of faults) {
			const entry = entries[(fault.entry ?? 0) % count]!;
			if (fault.kind === 'stall' || fault.kind === 'restart') {
				entry.down = elapsed === fault.at ? true : (elapsed === fault.until ? false : entry.down);
				entry.gate = fault.kind === 'restart' && elapsed === fault.until ? create() : entry.gate;
			} else if (fault.kind === 'step' && elapsed === fault.at) {
				entry.clockOffset += fault.until - fault.at;
			}
		}

		for (const run of later.get(ms) ?? []) {
			run();
		}

		later.delete(ms);
		for (const entry of entries) {
			if (!entry.down && ms % 50 === 0) {
				entry.gate.tick(ms + entry.clockOffset as Millis);
			}

			const isUrgent = urgentReports && !entry.down && ms % 50 === 0 && entry.gate.mustReport(ms + entry.clockOffset as Millis);
			if (!entry.down && (isUrgent || ms - entry.reportedAt >= statusMs)) {
				const control = controls[entry.region]!;
				entry.reportedAt = ms;
				const demand = structuredClone(entry.gate.demand(ms + entry.clockOffset as Millis));
				at(ms + hopMs, () => {
					const now = ms + stepMs as Millis;
					control.sums.record(entry.nodeId, demand, {}, now);
					control.urgent ||= demand.urgent === true;
					control.heard.set(entry.nodeId, {demand, at: now});
					sendFeed(control, entry, now);
				});
			}
		}

		for (const [region, control] of controls.entries()) {
			control.sums.tick(ms as Millis);
			if (ms - control.gossipAt >= statusMs || (control.urgent && ms - control.gossipAt >= 100)) {
				control.gossipAt = ms;
				if (control.urgent) {
					control.urgent = false;
					pushFeeds(region, ms as Millis);
				}

				const statuses = [...control.heard].filter(([, {at: heardAt}]) => ms - heardAt < 2500).map(([nodeId, {demand, at: heardAt}]) => ({nodeId, demand, ageMs: ms - heardAt}));
				for (const [other, peer] of controls.entries()) {
					if (other !== region && !isCut(region, elapsed) && !isCut(other, elapsed)) {
						at(ms + regionHopMs, () => {
							for (const {nodeId, demand, ageMs} of statuses) {
								peer.sums.record(nodeId, demand, {ageMs: ageMs + regionHopMs}, ms + 60 as Millis);
							}

							if (statuses.some(({demand}) => demand.urgent)) {
								pushFeeds(other, ms + 60 as Millis);
							}
						});
					}
				}
			}
		}

		for (const [index, {quota, cost, load, pick, most}] of organisations.entries()) {
			const usage = usages[index]!;
			const {quota: total} = quotaAllowance(quota, bounds);
			const mean = load(elapsed) * quota.perSecond * stepMs / 1000 / cost;
			for (let left = poisson(mean, random); left > 0; left -= 1) {
				while (usage.askedFrom < usage.askedLog.length && usage.askedLog[usage.askedFrom]![0] <= ms - bounds.windowMs) {
					usage.askedSum -= usage.askedLog[usage.askedFrom]![1];
					usage.askedFrom += 1;
				}

				if (most !== undefined && usage.askedSum + cost > most * total) {
					continue;
				}

				const entry = entries[pick(elapsed, random, count)]!;
				if (entry.down) {
					continue;
				}

				usage.askedLog.push([ms, cost]);
				usage.askedSum += cost;
				usage.asked += cost;
				if (entry.gate.admit({organisation: names[index]!, cost}, ms + entry.clockOffset as Millis).admitted) {
					usage.sent.push([ms, cost]);
				} else {
					usage.refused += cost;
				}
			}
		}
	}

	return usages.map(({asked, refused, sent}, index): SimulationResult => {
		const {quota} = organisations[index]!;
		const {bound} = quotaAllowance(quota, bounds);
		const halfMs = startMs + (durationMs / 2);
		const late = sent.filter(([ms]) => ms >= halfMs).reduce((sum, [, cost]) => sum + cost, 0);
		return {
			worstWindow: largestWindow(sent) / bound, asked, refused, served: late / (quota.perSecond * durationMs / 2000),
		};
	});
}

function largestWindow(sent: ReadonlyArray<readonly [number, number]>): number {
	let largest = 0;
	let sum = 0;
	let first = 0;
	for (const [ms, cost] of sent) {
		sum += cost;
		while (sent[first]![0] <= ms - bounds.windowMs) {
			sum -= sent[first]![1];
			first += 1;
		}

		largest = Math.max(largest, sum);
	}

	return largest;
}

function poisson(mean: number, random: SeededRandom): number {
	const limit = Math.exp(-mean);
	let count = 0;
	for (let product = random.next(); product > limit; product *= random.next()) {
		count += 1;
	}

	return count;
}
