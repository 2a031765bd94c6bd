import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {NodeRole} from './node-role.ts';

/** Identity, location and addresses of a process, as it announces them to its peers. */
export type NodeInfo = {
	readonly nodeId: NodeId;
	readonly region: Region;
	readonly zone: Zone;
	readonly roles: readonly NodeRole[];
	/** `ip:port` for callers, targets and operators. */
	readonly callerAddress: string;
	/** `ip:port` for peers. */
	readonly peerAddress: string;
	/** Relative size of its VM; 1 is the smallest. */
	readonly weight: number;
	/** True if it has a data folder. */
	readonly hasDisk: boolean;
	/** Wall-clock start time in milliseconds: higher after a restart. */
	readonly incarnation: number;
};
