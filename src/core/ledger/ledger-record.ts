import type {ClaimRecord} from './claim-record.ts';
import type {KeeperSet} from './keeper-set.ts';

/** Records of the journal `ledger`, replayed in order at the start. */
export type LedgerRecord =
	/** The node is an active member of this set. */
	| {readonly type: 'active'; readonly set: KeeperSet}
	/** The node no longer serves any epoch up to this one. */
	| {readonly type: 'sealed'; readonly epoch: number}
	| {readonly type: 'claim'; readonly claim: ClaimRecord}
	| {readonly type: 'removed'; readonly key: string}
	/** The claim, given by its formatted id, is refused for good. */
	| {readonly type: 'fenced'; readonly claim: string};
