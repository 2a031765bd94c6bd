/** The files of the data folder that hold state which must survive a restart. */
export type JournalName = 'consensus' | 'ledger';
