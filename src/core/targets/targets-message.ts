import type {Announcement} from './announcement.ts';

/** Messages about targets between the entries of one region. */
export type TargetsMessage =
	/** Updates of the last round, or the reply to a `pull`: full records of targets that changed, compact loads (see `encodeLoads`) of those where only the load did. */
	| {readonly type: 'digest'; readonly records: readonly RelayedRecord[]; readonly loads: string}
	/** Sent at once to every entry of the region when a target announces that it is leaving. */
	| {readonly type: 'leaving'; readonly record: RelayedRecord}
	/** Requests the full records of unknown handles, and the loads of known ones whose lease is about to end. */
	| {readonly type: 'pull'; readonly unknown: readonly number[]; readonly known: readonly number[]};

/** An announcement relayed by an entry. */
type RelayedRecord = {
	readonly announcement: Announcement;
	/** Milliseconds since the announcement was received from the target itself. */
	readonly ageMs: number;
};
