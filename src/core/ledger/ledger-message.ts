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
	/** A coordinator reports to a keeper how the claimed request ended. */
	| {
		readonly type: 'finish';
		readonly region: Region;
		readonly claimId: ClaimId;
		readonly key: string;
		readonly state: 'done' | 'unknown' | 'released';
		readonly answer?: StoredAnswer;
	}
	/** Acknowledges `finish`; `changed` if the claim held the key until then. */
	| {readonly type: 'finish-reply'; readonly claimId: ClaimId; readonly epoch: number; readonly changed: boolean}
	/** The keeper does not serve the requested epoch; `set` is the newest one it knows. */
	| {readonly type: 'not-ready'; readonly region: Region; readonly set?: KeeperSet}
	/** Asks a coordinator for the status of one of its claims. */
	| {readonly type: 'query'; readonly claimId: ClaimId}
	/** `pending`: not granted yet; `running`: granted; `ended`: its request ended; `never`: released; `forgotten`: unknown to this process. */
	| {readonly type: 'query-reply'; readonly claimId: ClaimId; readonly status: 'pending' | 'running' | 'ended' | 'never' | 'forgotten'}
	/** Asks a keeper to refuse the claim for good, unless the claim holds the key there. */
	| {readonly type: 'fence'; readonly region: Region; readonly epoch: number; readonly key: string; readonly claimId: ClaimId}
	| {readonly type: 'fence-reply'; readonly claimId: ClaimId; readonly epoch: number; readonly held: boolean}
	/** Announces a newer set. */
	| {readonly type: 'set'; readonly set: KeeperSet}
	/** A member of `set` asks for the claims granted up to the end of `epoch`, in pages; `cursor` is 0 for the first one. */
	| {readonly type: 'take-over'; readonly set: KeeperSet; readonly epoch: number; readonly cursor: number}
	/** A page of claims after `cursor`; `next`, the cursor of the next page, is absent on the last one. */
	| {
		readonly type: 'state';
		readonly setEpoch: number;
		readonly epoch: number;
		/** Incarnation of the sender; cursors are valid only within one. */
		readonly incarnation: number;
		readonly cursor: number;
		readonly claims: readonly ClaimRecord[];
		readonly next?: number;
	}
	/** The sender was never active in `set`, so nothing was granted in its epoch. */
	| {readonly type: 'never-active'; readonly setEpoch: number; readonly set: KeeperEpoch}
	/** The sender does not have the claims of the epoch. */
	| {readonly type: 'empty'; readonly setEpoch: number; readonly epoch: number};
