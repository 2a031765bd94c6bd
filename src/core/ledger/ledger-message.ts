/** Messages of the ledger part between processes. */
export type LedgerMessage = {readonly type: 'none'};
