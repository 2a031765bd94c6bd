import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ClaimOutcome} from './claim-outcome.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {StoredAnswer} from './stored-answer.ts';
import type {LedgerMessage} from './ledger-message.ts';

/** Claims of requests that may run at most once, and the keeping of their answers. */
export interface Ledger {
	/** Starts a claim; its outcome is returned by a later `takeOutcomes`. */
	claim(request: ClaimRequest, now: Millis): void;
	/** The claimed request is over: `answer` is kept for resends if within bounds. */
	markDone(requestId: RequestId, answer: StoredAnswer | undefined, now: Millis): void;
	/** The claimed request certainly did not run: its key may be claimed again. */
	release(requestId: RequestId, now: Millis): void;
	/** The claimed request may have run and has no whole answer. */
	markUnknown(requestId: RequestId, now: Millis): void;
	handle(from: NodeId, message: LedgerMessage, now: Millis): void;
	tick(now: Millis): void;
	/** A journal write was synced. */
	written(token: number, now: Millis): void;
	/** The replicated log decided a region's keepers. */
	applyKeeperSet(set: KeeperSet, now: Millis): void;
	/** Outcomes of claims since the last call. */
	takeOutcomes(): ReadonlyArray<{requestId: RequestId; outcome: ClaimOutcome}>;
}
