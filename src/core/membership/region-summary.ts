import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {RegionNode} from './region-node.ts';

/** Sums of one region, made by one of its nodes for the other regions. */
export type RegionSummary = {
	readonly region: Region;
	readonly maker: NodeId;
	readonly makerIncarnation: number;
	/** Counts the sums of one maker. */
	readonly version: number;
	/** Milliseconds since it was made, as far as known to the sender. */
	readonly ageMs: number;
	/** Lowest settings revision in force at a live entry. */
	readonly revision: number;
	/** Node with the highest settings revision. */
	readonly highest: {readonly nodeId: NodeId; readonly revision: number};
	/** A few nodes of the region, named in `entries` and `candidates`. */
	readonly nodes: readonly RegionNode[];
	readonly entries: readonly NodeId[];
	readonly candidates: readonly NodeId[];
	readonly services: readonly ServiceSummary[];
	/** Milliseconds since the maker's region heard of each other region. */
	readonly heard: Readonly<Record<string, number>>;
	/** Round trip measured by the node that got it from its region; absent between regions. */
	readonly roundTripMs?: number;
};
