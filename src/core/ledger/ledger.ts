import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ClaimOutcome} from './claim-outcome.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {StoredAnswer} from './stored-answer.ts';
import type {LedgerMessage} from './ledger-message.ts';

/** At-most-once ledger of an entry: claims idempotency keys for requests and stores the requests' answers. */
export interface Ledger {
	/** Starts a claim; a later `takeOutcomes` returns its outcome. */
	claim(request: ClaimRequest, now: Millis): void;
	/** The claimed request ran; `answer` is stored for retries of the caller if it is within bounds. */
	markDone(requestId: RequestId, answer: StoredAnswer | undefined, now: Millis): void;
	/** The claimed request certainly did not run, so its key may be claimed again. */
	release(requestId: RequestId, now: Millis): void;
	/** The claimed request may have run and has no complete answer. */
	markUnknown(requestId: RequestId, now: Millis): void;
	handle(from: NodeId, message: LedgerMessage, now: Millis): void;
	tick(now: Millis): void;
	/** A journal write was synced. */
	written(token: number, now: Millis): void;
	/** A journal write failed: as a keeper this node answers nothing that needs the journal until it is rewritten. */
	writeFailed(reason: string, now: Millis): void;
	/** Applies a region's keeper set, as committed in the replicated log. */
	applyKeeperSet(set: KeeperSet, now: Millis): void;
	/** Returns the outcomes of claims since the last call. */
	takeOutcomes(): ReadonlyArray<{requestId: RequestId; outcome: ClaimOutcome}>;
}
