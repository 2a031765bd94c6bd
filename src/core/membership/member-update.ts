import type {NodeId} from '../ids/node-id.ts';
import type {NodeInfo} from './node-info.ts';

/**
 * What one node tells another of a member of their region.
 *
 * Ordered by incarnation, then sequence, then state (`alive` < `suspect` < `dead`). Only the member itself raises its
 * sequence. `load` and `revision` are ordered by `beat` and do not take part in that order.
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
	/** Sent where the receiver may not know it. */
	readonly info?: NodeInfo;
};
