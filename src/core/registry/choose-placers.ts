import type {EntryStatus} from './entry-status.ts';

/** Fewest entries of a region for which placers are chosen. */
const minEntries = 8;
/** Share of the region's total weight that the placers have together. */
const placerWeightShare = 0.5;

/**
 * Chooses the placers of a region: the entries that place all of its requests to model engines, ordered by node id.
 * Returns none for a small region, in which every entry places its own requests.
 *
 * Each entry knows only its own requests, so many entries that share engines together overload some engines while
 * others are idle. The largest VMs therefore place for the others, as few as can carry the requests.
 */
export function choosePlacers(entries: readonly EntryStatus[]): readonly EntryStatus[] {
	if (entries.length < minEntries) {
		return [];
	}

	const requiredWeight = placerWeightShare * entries.reduce((sum, {weight}) => sum + weight, 0);
	const placers: EntryStatus[] = [];
	let weight = 0;
	for (const entry of entries.toSorted((left, right) => right.weight - left.weight || compareNodeIds(left, right))) {
		if (weight >= requiredWeight) {
			break;
		}

		placers.push(entry);
		weight += entry.weight;
	}

	return placers.sort(compareNodeIds);
}

function compareNodeIds(left: EntryStatus, right: EntryStatus): number {
	return left.nodeId < right.nodeId ? -1 : 1;
}
