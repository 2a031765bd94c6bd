import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';

/** One entry in the response of `/v1/entries`. */
export type EntryListing = {
	readonly node: NodeId;
	/** `ip:port` for callers. */
	readonly address: string;
	readonly zone: Zone;
	readonly region: Region;
	/** Relative share of calls for this entry among those of the same zone or region. */
	readonly weight: number;
};
