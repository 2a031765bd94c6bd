import type {NodeId} from '../ids/node-id.ts';

/** State of a member of the replicated log, as operators see it. */
export type ConsensusStatus = {
	readonly role: 'starting' | 'learner' | 'follower' | 'candidate' | 'leader' | 'stopped';
	readonly term: number;
	readonly leader?: NodeId;
	readonly commitIndex: number;
	readonly lastIndex: number;
	readonly snapshotIndex: number;
	/** Size of the entries held in memory, in bytes of JSON. */
	readonly logBytes: number;
	readonly voters: readonly NodeId[];
	/** Nodes that should vote: a node that is among them and not among the voters was added and does not vote yet. */
	readonly wanted: readonly NodeId[];
	readonly learners: readonly NodeId[];
	/** Log index of the newest change of the members, which the next change may name as the one that it follows. */
	readonly configurationIndex: number;
	/** Why the member has stopped; set with the role `stopped`. */
	readonly problem?: string;
};
