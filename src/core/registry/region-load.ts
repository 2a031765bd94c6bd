import type {Region} from '../ids/region.ts';
import type {ServiceLoad} from './service-load.ts';

/** What entries of one region can take, summed over them, and where some of them are reached. */
export type RegionLoad = {
	readonly region: Region;
	/** Entries that take requests. */
	readonly entries: number;
	/** True if the entries at `relayAddresses` place all of the region's requests to model engines. */
	readonly hasPlacers: boolean;
	/** `ip:port` of some of them for requests that other entries pass on. */
	readonly relayAddresses: readonly string[];
	/** Of the placers, if there are any: `targets` is the largest number that an entry sees, `startMs` and `extraMs` are means, the rest are sums. */
	readonly loads: readonly ServiceLoad[];
};
