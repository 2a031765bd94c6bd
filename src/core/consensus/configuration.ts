import type {NodeId} from '../ids/node-id.ts';
import type {LogMember} from './log-member.ts';

/** Members of the replicated log. A member uses a configuration as soon as it is in its log, committed or not. */
export type Configuration = {
	readonly voters: readonly LogMember[];
	/** Nodes that should vote; the leader changes `voters` to match, one member at a time. */
	readonly wanted: readonly NodeId[];
	/**
	 * Two of the voters, one of which takes the place of the other: a majority of the voters is needed both without
	 * the one and without the other, so that each is worth a vote only together with the other one. Absent otherwise.
	 */
	readonly replacement?: {readonly leaving: LogMember; readonly joining: LogMember};
};
