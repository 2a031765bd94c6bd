import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {NodeInfo} from '../membership/node-info.ts';
import type {NodeView} from '../membership/node-view.ts';
import type {EntryListing} from './entry-listing.ts';

/** Load from which an entry is left out while others are below it. */
const overloadedAt = 0.95;

type EntriesQuery = {
	/** Zone of the caller, if it says. */
	readonly zone?: Zone;
	readonly region: Region;
	/** Nodes of this node's region. */
	readonly nodes: readonly NodeView[];
	/** Entries of other regions that may be used, in order of nearness of their regions. */
	readonly away: readonly NodeInfo[];
	/** Regions the caller may use; undefined allows all. */
	readonly residency?: readonly Region[];
};

/**
 * Lists entries for a caller: those of its zone, then of its region, then of the rest. Weights follow the size of
 * the machine and the room left, so that callers who pick at random by weight spread without herding on one entry.
 */
export function listEntries(query: EntriesQuery): EntryListing[] {
	const usable = query.nodes.filter(node => node.state === 'alive' && !node.draining && node.info.roles.includes('entry'));
	const withRoom = usable.filter(node => node.load < overloadedAt);
	const own = (withRoom.length > 0 ? withRoom : usable).map(node => listing(node.info, 1 - node.load));
	const near = own.filter(entry => entry.zone === query.zone);
	const others = own.filter(entry => entry.zone !== query.zone);
	const away = query.away.map(info => listing(info, 1));
	return [...near.toSorted(byWeight), ...others.toSorted(byWeight), ...away]
		.filter(entry => query.residency === undefined || query.residency.includes(entry.region));
}

function listing(info: NodeInfo, room: number): EntryListing {
	return {
		node: info.nodeId,
		address: info.callerAddress,
		zone: info.zone,
		region: info.region,
		weight: Math.round(info.weight * Math.max(0.05, room) * 100) / 100,
	};
}

function byWeight(left: EntryListing, right: EntryListing): number {
	return right.weight - left.weight || (left.node < right.node ? -1 : 1);
}
