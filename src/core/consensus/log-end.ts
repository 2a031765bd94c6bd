import type {LogEntry} from './log-entry.ts';

/** What a member holds beyond what it knows to be committed. */
export type LogEnd = {
	/** Key of the member, see `memberKey`. */
	readonly member: string;
	readonly lastTerm: number;
	readonly lastIndex: number;
	/** Entries that are not known to be committed. */
	readonly uncommitted: readonly LogEntry[];
	/** Keys of the voters that the member goes by. */
	readonly voters: readonly string[];
};
