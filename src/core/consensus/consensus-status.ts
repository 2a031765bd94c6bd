import type {NodeId} from '../ids/node-id.ts';

/** What operators see of a member of the replicated log. */
export type ConsensusStatus = {
	readonly role: 'starting' | 'learner' | 'follower' | 'candidate' | 'leader' | 'stopped';
	readonly term: number;
	readonly leader?: NodeId;
	readonly commitIndex: number;
	readonly lastIndex: number;
	readonly snapshotIndex: number;
	readonly voters: readonly NodeId[];
	readonly learners: readonly NodeId[];
	/** Why the member takes no part, if `stopped`. */
	readonly problem?: string;
};
