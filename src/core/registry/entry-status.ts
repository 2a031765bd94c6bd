import type {EntryAddress} from '../ids/entry-address.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {ServiceLoad} from './service-load.ts';

/** How an entry describes itself to control. */
export type EntryStatus = {
	readonly nodeId: NodeId;
	readonly region: Region;
	readonly zone: Zone;
	/** Where callers reach it. */
	readonly address: EntryAddress;
	/** `ip:port` where entries of other regions forward requests to. */
	readonly relayAddress: string;
	readonly state: 'starting' | 'ready' | 'leaving';
	/** Share of a core that the VM has, as a weight. */
	readonly weight: number;
	readonly loads: readonly ServiceLoad[];
};
