import type {Region} from '../ids/region.ts';
import type {ClaimRecord} from './claim-record.ts';
import type {ClaimId} from './claim-id.ts';
import type {ClaimReply} from './claim-reply.ts';
import type {KeeperEpoch} from './keeper-epoch.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {StoredAnswer} from './stored-answer.ts';

/** Messages of the ledger part between processes. */
export type LedgerMessage =
	/** A coordinator asks a keeper to hold a claim. */
	| {
		readonly type: 'claim';
		readonly region: Region;
		readonly epoch: number;
		readonly claimId: ClaimId;
		readonly key: string;
		readonly fingerprint: string;
		readonly keepMs: number;
	}
	| {readonly type: 'claim-reply'; readonly claimId: ClaimId; readonly epoch: number; readonly reply: ClaimReply}
	/** The claimed request is over. */
	| {
		readonly type: 'finish';
		readonly region: Region;
		readonly claimId: ClaimId;
		readonly key: string;
		readonly state: 'done' | 'unknown' | 'released';
		readonly answer?: StoredAnswer;
	}
	/** The keeper knows; `changed` if the claim had held the key up to then. */
	| {readonly type: 'finish-reply'; readonly claimId: ClaimId; readonly epoch: number; readonly changed: boolean}
	/** The keeper cannot act in the epoch it was asked for; `set` is the newest one that it knows. */
	| {readonly type: 'not-ready'; readonly region: Region; readonly set?: KeeperSet}
	/** Asks a coordinator how a claim of its own stands. */
	| {readonly type: 'query'; readonly claimId: ClaimId}
	| {readonly type: 'query-reply'; readonly claimId: ClaimId; readonly status: 'pending' | 'running' | 'ended' | 'never' | 'forgotten'}
	/** Asks a keeper to refuse the claim for good unless it holds it. */
	| {readonly type: 'fence'; readonly region: Region; readonly epoch: number; readonly key: string; readonly claimId: ClaimId}
	| {readonly type: 'fence-reply'; readonly claimId: ClaimId; readonly epoch: number; readonly held: boolean}
	/** Tells of a newer set. */
	| {readonly type: 'set'; readonly set: KeeperSet}
	/** A member of `set` asks for the claims as they stood at the end of `epoch`, from `cursor` on. */
	| {readonly type: 'take-over'; readonly set: KeeperSet; readonly epoch: number; readonly cursor: number}
	/** Claims after the cursor; `next` is absent with the last of them. */
	| {
		readonly type: 'state';
		readonly setEpoch: number;
		readonly epoch: number;
		/** Of the sender: a restarted one counts its claims anew. */
		readonly incarnation: number;
		readonly cursor: number;
		readonly claims: readonly ClaimRecord[];
		readonly next?: number;
	}
	/** The asked node was never active in `set`, so nothing was granted in its epoch. */
	| {readonly type: 'never-active'; readonly setEpoch: number; readonly set: KeeperEpoch}
	/** The asked node does not remember the epoch. */
	| {readonly type: 'empty'; readonly setEpoch: number; readonly epoch: number};
