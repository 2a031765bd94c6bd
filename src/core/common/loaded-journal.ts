/**
 * What was read back from one journal of the data folder at start.
 *
 * `torn` means that a record cut short at the very end was dropped; `missing` that there was no file.
 * A journal damaged before its tail is never loaded: the server refuses to use the folder.
 */
export type LoadedJournal<JournalRecord> = {
	readonly status: 'intact' | 'torn' | 'missing';
	readonly records: readonly JournalRecord[];
};
