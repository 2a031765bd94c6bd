import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {NodeView} from './node-view.ts';

/** What a node knows of one region, its own included: sums, not every target. */
export type RegionView = {
	readonly region: Region;
	/** False if no entry of the region has been heard for longer than the failure time-out. */
	readonly reachable: boolean;
	/** Milliseconds since the sums were made, transfer included as far as known. */
	readonly ageMs: number;
	/** Lowest settings revision in force at a live entry of the region. */
	readonly revision: number;
	/** Live entries of the region that may take forwarded requests; a few, not all. */
	readonly entries: readonly NodeId[];
	/** Live nodes that may keep claims, best first; a few, not all. */
	readonly candidates: readonly NodeView[];
	readonly services: readonly ServiceSummary[];
	/** Round trip to the region in milliseconds, smoothed. */
	readonly roundTripMs: number;
};
