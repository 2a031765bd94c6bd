import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {ConsensusStatus} from './consensus-status.ts';
import type {LogCommand} from './log-command.ts';

/** One member of the replicated log. */
export interface Consensus<Outcome> {
	handle(from: NodeId, message: ConsensusMessage, now: Millis): void;
	tick(now: Millis): void;
	/** A journal write was synced. */
	written(token: number, now: Millis): void;
	/** A journal write failed: the member steps back and takes no part until it is restarted. */
	writeFailed(reason: string, now: Millis): void;
	/**
	 * Appends a command if this member leads; the returned index shows up in `takeCommitted`
	 * unless leadership is lost first. Undefined if it does not lead.
	 */
	propose(command: LogCommand, now: Millis): number | undefined;
	/** True while this member leads and its lease, renewed by a majority, is valid. */
	leads(now: Millis): boolean;
	/** End of this member's lease on its clock; undefined while it does not lead with a valid one. */
	leaseUntil(now: Millis): Millis | undefined;
	/** The member believed to lead. */
	leader(): NodeId | undefined;
	/** Outcomes of commands applied since the last call, in log order. */
	takeCommitted(): ReadonlyArray<{index: number; term: number; command: LogCommand; outcome: Outcome}>;
	/** Asks the leader's membership change: one at a time; false if this member does not lead or another is under way. */
	changeMembers(change: {type: 'add' | 'remove'; nodeId: NodeId}, now: Millis): boolean;
	status(): ConsensusStatus;
}
