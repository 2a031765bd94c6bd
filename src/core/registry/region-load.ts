import type {Region} from '../ids/region.ts';
import type {ServiceLoad} from './service-load.ts';

/** Summary of a region for other entries: its load and the addresses to forward requests to. */
export type RegionLoad = {
	readonly region: Region;
	/** Number of entries that accept requests. */
	readonly entries: number;
	/** True if the entries at `relayAddresses` place all of the region's requests to model engines. */
	readonly hasPlacers: boolean;
	/** `ip:port` of the placers, or else of a sample of the entries, for forwarded requests. */
	readonly relayAddresses: readonly string[];
	/** Load of each service over the placers, or else over all entries: `targets` is the maximum, `softwareVersions` has those of all, `startMs`, `extraMs` and the figures of `costs` are means, the rest are sums. */
	readonly loads: readonly ServiceLoad[];
};
