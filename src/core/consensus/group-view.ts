import type {NodeId} from '../ids/node-id.ts';

/** The leader's view of the members of the replicated log. */
export type GroupView = {
	/** True if the newest configuration is committed. */
	readonly configurationCommitted: boolean;
	readonly wanted: readonly NodeId[];
	/** `silentMs` is the time since the leader last heard from a voter, or since its election if the voter has not answered since; 0 for the leader itself. */
	readonly voters: ReadonlyArray<{readonly nodeId: NodeId; readonly silentMs: number; readonly hasAnswered: boolean}>;
	/** Nodes without a vote that the leader replicates to, in the order in which they joined; `silentMs` is the time since their last answer. */
	readonly learners: ReadonlyArray<{readonly nodeId: NodeId; readonly silentMs: number; readonly caughtUp: boolean}>;
};
