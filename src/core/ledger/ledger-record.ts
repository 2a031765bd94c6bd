import type {ClaimRecord} from './claim-record.ts';
import type {KeeperSet} from './keeper-set.ts';

/** Records of the ledger's journal, replayed in order. */
export type LedgerRecord =
	/** The node is a full member of this set. */
	| {readonly type: 'active'; readonly set: KeeperSet}
	/** The node takes part in no epoch up to this one any more. */
	| {readonly type: 'sealed'; readonly epoch: number}
	| {readonly type: 'claim'; readonly claim: ClaimRecord}
	| {readonly type: 'removed'; readonly key: string}
	/** The claim can never be accepted here. */
	| {readonly type: 'fenced'; readonly claim: string};
