import type {LogMember} from './log-member.ts';

/** Replication progress of another member, tracked by the leader. */
export type PeerProgress = {
	readonly member: LogMember;
	/** Highest index known to be synced there and to match the leader's log. */
	matchIndex: number;
	/** Index of the next entry to send. */
	nextIndex: number;
	/** Commit index in the last message sent. */
	sentCommitIndex: number;
	/** True until an answer shows where the logs match; until then only one message is in flight. */
	probing: boolean;
	/** Sending time of the newest answered message, on the leader's clock. */
	ackedAt: number;
	/** Time of the last answer to a message of this leader, on the leader's clock: the member hears the leader, too. */
	answeredAt: number;
	/** Time of the last message from the member, on the leader's clock. */
	heardAt: number;
	/** Time of the last message to the member, on the leader's clock. */
	sentAt: number;
	/** Index of the snapshot being sent, and the offset of the next chunk in characters. */
	snapshotTransfer?: {readonly index: number; offset: number};
};
