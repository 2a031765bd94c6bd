import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {NodeView} from './node-view.ts';

/** Aggregated state of a region, this node's own included, without single targets. */
export type RegionView = {
	readonly region: Region;
	/** False if the region's summary is too old, or if the region has not heard from this one for too long. */
	readonly reachable: boolean;
	/** Age of the summary in milliseconds, estimated transfer time included. */
	readonly ageMs: number;
	/** Lowest settings revision in force at a live entry of the region. */
	readonly revision: number;
	/** Live entries that may take forwarded requests; for remote regions a few, not all. */
	readonly entries: readonly NodeId[];
	/** Candidates for keepers of claims, best first; a few, not all. */
	readonly candidates: readonly NodeView[];
	readonly services: readonly ServiceSummary[];
	/** Smoothed round-trip time to the region, in milliseconds. */
	readonly roundTripMs: number;
};
