import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';

/** One line of the answer to "which entries may I use?". */
export type EntryListing = {
	readonly node: NodeId;
	/** `ip:port` for callers. */
	readonly address: string;
	readonly zone: Zone;
	readonly region: Region;
	/** Share of calls that this entry should get relative to others of the same nearness. */
	readonly weight: number;
};
