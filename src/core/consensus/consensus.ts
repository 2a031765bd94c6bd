import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {ConsensusStatus} from './consensus-status.ts';
import type {LogCommand} from './log-command.ts';
import type {MemberChange} from './member-change.ts';

/** One member of the replicated log. */
export interface Consensus<Outcome> {
	handle(from: NodeId, message: ConsensusMessage, now: Millis): void;
	tick(now: Millis): void;
	/** Reports that a journal write was synced. */
	written(token: number, now: Millis): void;
	/** Reports that a journal write failed: the member steps down and ignores all messages until it has rewritten its journal. */
	writeFailed(reason: string, now: Millis): void;
	/**
	 * Appends a command and returns its index, which `takeCommitted` reports unless leadership is lost first.
	 * Undefined if this member does not lead with a valid lease, or has too many uncommitted entries.
	 */
	propose(command: LogCommand, now: Millis): number | undefined;
	/** True while this member leads with a valid lease, which a majority renews. */
	leads(now: Millis): boolean;
	/** End of this member's lease on its own clock; undefined unless it leads with a valid lease. */
	leaseUntil(now: Millis): Millis | undefined;
	/** The leader as far as this member knows. */
	leader(): NodeId | undefined;
	/** Commands applied since the last call with their outcomes, in log order. */
	takeCommitted(): ReadonlyArray<{index: number; term: number; command: LogCommand; outcome: Outcome}>;
	/** Starts a membership change; false if this member does not lead, another change is pending, or this one is not possible. */
	changeMembers(change: MemberChange, now: Millis): boolean;
	status(): ConsensusStatus;
}
