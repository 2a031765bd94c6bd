import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {LogSnapshot} from './log-snapshot.ts';

/** A record of a member's journal. */
export type ConsensusRecord =
	| {readonly type: 'vote'; readonly term: number; readonly votedFor?: string}
	/** This member was started with a new installation and may form its first group. */
	| {readonly type: 'founder'}
	/** The group that this data folder belongs to or has promised to join, and the voters that were proposed for it. */
	| {readonly type: 'group'; readonly group: string; readonly voters?: readonly LogMember[]}
	| {readonly type: 'entries'; readonly entries: readonly LogEntry[]}
	/** Entries from index `from` on are discarded. */
	| {readonly type: 'truncation'; readonly from: number}
	/** Entries up to `index` are committed; nothing waits for the sync of this record. */
	| {readonly type: 'commit'; readonly index: number}
	| {readonly type: 'snapshot'; readonly snapshot: LogSnapshot};
