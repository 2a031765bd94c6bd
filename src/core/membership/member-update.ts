import type {NodeId} from '../ids/node-id.ts';
import type {NodeInfo} from './node-info.ts';

/**
 * Gossip record of one member of the region.
 *
 * Records are ordered by incarnation, then sequence, then state (`alive` < `suspect` < `dead`). Only the member itself
 * raises its sequence. `load` and `revision` are ordered by `beat` alone within an incarnation.
 */
export type MemberUpdate = {
	readonly nodeId: NodeId;
	readonly incarnation: number;
	readonly sequence: number;
	readonly state: 'alive' | 'suspect' | 'dead';
	readonly draining: boolean;
	/** Counts changes of `load` and `revision`. */
	readonly beat: number;
	readonly revision: number;
	readonly load: number;
	/** Address data; sent if the receiver may not have it. */
	readonly info?: NodeInfo;
};
