import type {Announcement} from './announcement.ts';

/** Messages about targets between the entries of one region. */
export type TargetsMessage =
	/** News of the last round: full records of targets that changed, compact loads of those that did not (see `encodeLoads`). */
	| {readonly type: 'digest'; readonly records: readonly RelayedRecord[]; readonly loads: string}
	/** Sent at once to every entry of the region when a target starts to leave. */
	| {readonly type: 'leaving'; readonly record: RelayedRecord}
	/** Asks for the full records behind handles that are not known, and for the loads of known ones whose lease runs out. */
	| {readonly type: 'pull'; readonly unknown: readonly number[]; readonly known: readonly number[]};

/** An announcement passed on by an entry. */
type RelayedRecord = {
	readonly announcement: Announcement;
	/** Milliseconds since the target itself was heard. */
	readonly ageMs: number;
};
