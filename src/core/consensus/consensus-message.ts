import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';

/** A message between two members of the replicated log. */
export type ConsensusMessage = {
	/** Group of the sender; messages of other groups are ignored, except while a member starts or joins. */
	readonly group: string;
	readonly storageId: StorageId;
	/** Data folder of the addressee, if the sender knows it: a member with another folder ignores the message. */
	readonly to?: StorageId;
	readonly body: ConsensusBody;
};

type ConsensusBody =
	/** Asks at start whether the receiver's log is empty; `propose` asks it to promise to join that group, with these voters once they are known. */
	| {readonly type: 'hello'; readonly propose?: string; readonly voters?: readonly LogMember[]}
	| {
		readonly type: 'hello-answer';
		readonly empty: boolean;
		/** The group that the sender belongs to or has promised to join. */
		readonly promised: string;
		/** Voters of that group as they were proposed, empty if none were; absent in answers of older builds. */
		readonly promisedVoters?: string;
		/** Whether the sender was started with a new installation, so that it may form the first group; absent in answers of older builds. */
		readonly founder?: boolean;
	}
	/** Sent by a member without a leader, to be brought up to date. */
	| {readonly type: 'join'}
	/** Answer to `join` by a member that is not the leader. */
	| {readonly type: 'join-redirect'; readonly leader: NodeId}
	| {readonly type: 'vote'; readonly pre: boolean; readonly term: number; readonly lastIndex: number; readonly lastTerm: number}
	| {readonly type: 'vote-answer'; readonly pre: boolean; readonly term: number; readonly granted: boolean}
	| {
		readonly type: 'append';
		readonly term: number;
		readonly previousIndex: number;
		readonly previousTerm: number;
		readonly entries: readonly LogEntry[];
		readonly commit: number;
		/** Sending time on the leader's clock, returned in the answer; the leader's lease is renewed from it. */
		readonly sentAt: number;
	}
	| {
		readonly type: 'append-answer';
		readonly term: number;
		readonly ok: boolean;
		/** If ok: index up to which the logs match and are synced. Otherwise: the `previousIndex` to try next. */
		readonly index: number;
		/** `previousIndex` of the answered message. */
		readonly previousIndex: number;
		readonly sentAt: number;
	}
	| {
		readonly type: 'snapshot';
		readonly term: number;
		readonly index: number;
		readonly offset: number;
		readonly total: number;
		readonly text: string;
		readonly sentAt: number;
	}
	| {readonly type: 'snapshot-answer'; readonly term: number; readonly index: number; readonly offset: number; readonly sentAt: number};
