import type {NodeId} from '../ids/node-id.ts';
import type {ConsensusStatus} from './consensus-status.ts';

/** The node that was added and does not vote yet; undefined if there is none. No other one can be added meanwhile. */
export function pendingMember({wanted, voters}: Pick<ConsensusStatus, 'wanted' | 'voters'>): NodeId | undefined {
	return wanted.find(nodeId => !voters.includes(nodeId));
}
