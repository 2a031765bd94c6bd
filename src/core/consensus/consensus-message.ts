import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {LogEntry} from './log-entry.ts';

/** Messages of the consensus part between processes. */
export type ConsensusMessage = {
	/** Group of the sender; members of different groups never mix. */
	readonly group: string;
	readonly storageId: StorageId;
	/** Set on the leader's messages: a member with another folder ignores them. */
	readonly to?: StorageId;
	readonly body: ConsensusBody;
};

type ConsensusBody =
	/** Asks a node at start whether it has any history; `propose` asks it to promise to help form that group. */
	| {readonly type: 'hello'; readonly propose?: string}
	| {readonly type: 'hello-answer'; readonly empty: boolean; readonly promised: string}
	/** A member without a leader asks to be brought up to date. */
	| {readonly type: 'join'}
	/** Answer of a member that does not lead to one that asks to join. */
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
		/** Leader's own clock, returned in the answer; renews its lease. */
		readonly sentAt: number;
	}
	| {
		readonly type: 'append-answer';
		readonly term: number;
		readonly ok: boolean;
		/** If ok: index up to which the logs match, synced; else: where to try next. */
		readonly index: number;
		/** `previousIndex` of the message that is answered. */
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
