import type {EntryStatus} from './entry-status.ts';

/** Entries of a region from which on only some of them place requests to model engines. */
const minEntries = 8;
/** Part of the region's processor shares that the placers have together. */
const placerWeightShare = 0.5;

/**
 * The entries that place all requests to model engines of their region, in a fixed order; none in a small region.
 *
 * Answers many entries that share engines: each sees only its own requests, so that together they overload single
 * engines beside idle ones. The largest VMs place for the others, as few as can carry the requests.
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
