import type {NodeId} from '../ids/node-id.ts';
import type {LogMember} from './log-member.ts';

/** Who decides; in force from the moment it is in a member's log. */
export type Configuration = {
	readonly voters: readonly LogMember[];
	/** Nodes that ought to vote; the leader brings the voters in line, one step at a time. */
	readonly wanted: readonly NodeId[];
};
