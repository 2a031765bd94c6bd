/**
 * Contents of one journal of the data folder, read at start.
 *
 * `torn`: an incomplete record at the very end was dropped; `missing`: there was no file.
 * A journal that is damaged before its end is never loaded: the server refuses to use the folder.
 */
export type LoadedJournal<JournalRecord> = {
	readonly status: 'intact' | 'torn' | 'missing';
	readonly records: readonly JournalRecord[];
};
