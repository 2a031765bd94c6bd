import {meanCostSummary} from '../cost/mean-cost-summary.ts';
import type {ServiceCostSummary} from '../cost/service-cost-summary.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import {choosePlacers} from './choose-placers.ts';
import type {EntryStatus} from './entry-status.ts';
import type {RegionLoad} from './region-load.ts';
import type {ServiceLoad} from './service-load.ts';

/** Number of addresses in the sample of a region without placers. */
const sampleSize = 4;

type LoadSum = Omit<Required<ServiceLoad>, 'service' | 'costs'> & {readonly reports: number; readonly costs: readonly ServiceCostSummary[]};

/** Summarizes the loads of entries by region, so that the size of a summary does not grow with the number of entries. `rotation` shifts the sample of addresses. */
export function summarizeRegions(entries: readonly EntryStatus[], rotation: number): readonly RegionLoad[] {
	const byRegion = new Map<Region, EntryStatus[]>();
	for (const entry of entries) {
		const list = byRegion.get(entry.region) ?? [];
		list.push(entry);
		byRegion.set(entry.region, list);
	}

	return [...byRegion].map(([region, list]) => {
		const forwarding = withTargets(list);
		const placers = choosePlacers(forwarding);
		const hasPlacers = placers.length > 0;
		return {
			region,
			entries: list.length,
			hasPlacers,
			relayAddresses: hasPlacers ? placers.map(({relayAddress}) => relayAddress) : sampleRelayAddresses(forwarding, rotation),
			loads: summarizeLoads(hasPlacers ? placers : forwarding),
		};
	});
}

/** Entries that reach targets of their region; all if none does. */
function withTargets(entries: readonly EntryStatus[]): readonly EntryStatus[] {
	const reaching = entries.filter(({loads}) => loads.some(({targets}) => targets > 0));
	return reaching.length > 0 ? reaching : entries;
}

function sampleRelayAddresses(entries: readonly EntryStatus[], rotation: number): readonly string[] {
	const sorted = entries.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1);
	const count = Math.min(sampleSize, sorted.length);
	return Array.from({length: count}, (_, index) => sorted[(rotation + index) % sorted.length]!.relayAddress);
}

function summarizeLoads(entries: readonly EntryStatus[]): readonly ServiceLoad[] {
	const sums = new Map<ServiceName, LoadSum>();
	for (const {loads} of entries) {
		for (const load of loads) {
			const sum = sums.get(load.service) ?? {
				targets: 0, softwareVersions: [], inFlight: 0, waiting: 0, startMs: 0, extraMs: 0, reports: 0, costs: [],
			};
			sums.set(load.service, {
				targets: Math.max(sum.targets, load.targets),
				softwareVersions: [...new Set([...sum.softwareVersions, ...load.softwareVersions ?? []])],
				inFlight: sum.inFlight + load.inFlight,
				waiting: sum.waiting + load.waiting,
				startMs: sum.startMs + load.startMs,
				extraMs: sum.extraMs + load.extraMs,
				reports: sum.reports + 1,
				costs: load.costs === undefined ? sum.costs : [...sum.costs, load.costs],
			});
		}
	}

	return [...sums].map(([service, {reports, startMs, extraMs, costs, ...rest}]) => ({
		...rest,
		service,
		startMs: Math.round(startMs / reports),
		extraMs: Math.round(extraMs / reports),
		...costs.length > 0 && {costs: meanCostSummary(costs)},
	}));
}
