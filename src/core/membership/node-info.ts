import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {NodeRole} from './node-role.ts';

/** How one process describes itself to its peers. */
export type NodeInfo = {
	readonly nodeId: NodeId;
	readonly region: Region;
	readonly zone: Zone;
	readonly roles: readonly NodeRole[];
	/** `ip:port` where callers, targets and operators reach it. */
	readonly callerAddress: string;
	/** `ip:port` where peers reach it. */
	readonly peerAddress: string;
	/** Relative size of its machine; 1 is the smallest. */
	readonly weight: number;
	/** True if it has a data folder. */
	readonly hasDisk: boolean;
	/** Wall-clock start time in milliseconds: a restarted process has a higher one. */
	readonly incarnation: number;
};
