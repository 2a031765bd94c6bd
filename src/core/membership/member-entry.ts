import type {Millis} from '../ids/millis.ts';
import type {NodeInfo} from './node-info.ts';

/** What a node keeps of one member of its region. */
export type MemberEntry = {
	info: NodeInfo;
	state: 'alive' | 'suspect' | 'dead';
	sequence: number;
	draining: boolean;
	beat: number;
	revision: number;
	load: number;
	/** When it got its state. */
	since: Millis;
	/** True if the state is only this node's own belief, which is neither spread nor needs a new sequence to be undone. */
	local: boolean;
};
