import type {LogMember} from './log-member.ts';

/** What a leader knows of one other member. */
export type PeerProgress = {
	readonly member: LogMember;
	/** Highest index known to be synced there and equal to the leader's log. */
	match: number;
	/** Next index to send. */
	nextIndex: number;
	/** Commit index that was sent last. */
	sentCommitIndex: number;
	/** True until an answer shows where the logs agree: one message at a time. */
	probing: boolean;
	/** Leader's time at which the newest answered message was sent. */
	ackedAt: number;
	/** When anything was last heard, on the leader's clock. */
	heardAt: number;
	sentAt: number;
	/** Index of the snapshot that is being sent, and the offset asked for. */
	snapshotTransfer?: {readonly index: number; offset: number};
};
