import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {RegionNode} from './region-node.ts';

/** Aggregated state of a region, made by one of its nodes for the other regions. */
export type RegionSummary = {
	readonly region: Region;
	readonly maker: NodeId;
	readonly makerIncarnation: number;
	/** Counts the summaries of one maker in one incarnation. */
	readonly version: number;
	/** Milliseconds since it was made, as estimated by the sender. */
	readonly ageMs: number;
	/** Lowest settings revision in force at the region's live entries. */
	readonly revision: number;
	/** Node with the highest settings revision. */
	readonly highest: {readonly nodeId: NodeId; readonly revision: number};
	/** The nodes named in `highest`, `entries` and `candidates`. */
	readonly nodes: readonly RegionNode[];
	readonly entries: readonly NodeId[];
	readonly candidates: readonly NodeId[];
	readonly services: readonly ServiceSummary[];
	/** Age of the maker's summary of each other region, in milliseconds. */
	readonly heard: Readonly<Record<string, number>>;
	/** Round-trip time to the region, in milliseconds, smoothed by the node that relays the summary inside its own region; absent between regions. */
	readonly roundTripMs?: number;
};
