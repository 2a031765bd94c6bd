import type {LogEntry} from './log-entry.ts';
import type {LogSnapshot} from './log-snapshot.ts';

/** Records of a member's journal. */
export type ConsensusRecord =
	| {readonly type: 'vote'; readonly term: number; readonly votedFor?: string}
	/** This member started when the whole system was new, and may still found its first group. */
	| {readonly type: 'founder'}
	/** The group of members that this folder belongs to, or has promised to help form. */
	| {readonly type: 'group'; readonly group: string}
	| {readonly type: 'entries'; readonly entries: readonly LogEntry[]}
	/** Entries from `from` on are void. */
	| {readonly type: 'truncation'; readonly from: number}
	/** Entries up to `index` are known to be committed; written lazily. */
	| {readonly type: 'commit'; readonly index: number}
	| {readonly type: 'snapshot'; readonly snapshot: LogSnapshot};
