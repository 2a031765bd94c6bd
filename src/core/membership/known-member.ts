import type {Millis} from '../ids/millis.ts';
import type {NodeInfo} from './node-info.ts';

/** State that a node keeps for one other member of its region. */
export type KnownMember = {
	info: NodeInfo;
	state: 'alive' | 'suspect' | 'dead';
	sequence: number;
	draining: boolean;
	beat: number;
	revision: number;
	load: number;
	/** Time of the last change of `state`. */
	since: Millis;
	/** True if `state` is this node's own belief only: it is not gossiped, and the member need not refute it with a new sequence. */
	local: boolean;
};
