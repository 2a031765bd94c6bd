import type {NodeId} from '../ids/node-id.ts';

/** The members of the replicated log as their leader sees them. */
export type GroupView = {
	/** True if the newest configuration is committed. */
	readonly configurationCommitted: boolean;
	readonly wanted: readonly NodeId[];
	readonly voters: ReadonlyArray<{readonly nodeId: NodeId; readonly silentMs: number}>;
	/** Members without a vote that have caught up. */
	readonly standbys: readonly NodeId[];
};
