import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {NodeInfo} from '../membership/node-info.ts';
import type {NodeView} from '../membership/node-view.ts';
import type {EntryListing} from './entry-listing.ts';

/** Load from which an entry is left out, unless all entries of the region have reached it. */
const overloadThreshold = 0.95;

type EntriesQuery = {
	/** Zone of the caller, if it gave one. */
	readonly zone?: Zone;
	readonly region: Region;
	/** Nodes of this node's region. */
	readonly nodes: readonly NodeView[];
	/** Entries of remote regions, nearest region first. */
	readonly remoteEntries: readonly NodeInfo[];
	/** Regions that the caller may use; undefined allows all. */
	readonly residency?: readonly Region[];
};

/**
 * Lists entries for a caller: those of its zone, then of its region, then of remote regions. The weight is the size of
 * the VM times its free share (at least 0.05), so that callers that choose at random by weight spread over the entries.
 */
export function listEntries(query: EntriesQuery): EntryListing[] {
	const usable = query.nodes.filter(node => node.state === 'alive' && !node.draining && node.info.roles.includes('entry'));
	const notOverloaded = usable.filter(node => node.load < overloadThreshold);
	const own = (notOverloaded.length > 0 ? notOverloaded : usable).map(node => listing(node.info, 1 - node.load));
	const sameZone = own.filter(entry => entry.zone === query.zone);
	const otherZones = own.filter(entry => entry.zone !== query.zone);
	const remote = query.remoteEntries.map(info => listing(info, 1));
	return [...sameZone.toSorted(byWeight), ...otherZones.toSorted(byWeight), ...remote]
		.filter(entry => query.residency === undefined || query.residency.includes(entry.region));
}

function listing(info: NodeInfo, freeShare: number): EntryListing {
	return {
		node: info.nodeId,
		address: info.callerAddress,
		zone: info.zone,
		region: info.region,
		weight: Math.round(info.weight * Math.max(0.05, freeShare) * 100) / 100,
	};
}

function byWeight(left: EntryListing, right: EntryListing): number {
	return right.weight - left.weight || (left.node < right.node ? -1 : 1);
}
