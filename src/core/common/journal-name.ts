/** Journals of the data folder, which hold the state that must survive a restart. */
export type JournalName = 'consensus' | 'ledger';
