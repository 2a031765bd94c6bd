import type {EntryAddress} from '../ids/entry-address.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {EntryDemand} from '../organisations/quota/entry-demand.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {ServiceLoad} from './service-load.ts';

/** Status that an entry sends to its control node. */
export type EntryStatus = {
	readonly nodeId: NodeId;
	readonly region: Region;
	readonly zone: Zone;
	/** Address for callers. */
	readonly address: EntryAddress;
	/** `ip:port` to which other entries forward requests. */
	readonly relayAddress: string;
	readonly state: 'starting' | 'ready' | 'leaving';
	/** Weight of the entry: the processor cores of its VM, possibly a fraction. */
	readonly weight: number;
	readonly loads: readonly ServiceLoad[];
	/** Demand of organisations; absent without quotas and from builds that don't know them. */
	readonly demand?: EntryDemand;
};
