import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ClaimOutcome} from './claim-outcome.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {KeptAnswer} from './kept-answer.ts';
import type {Ledger} from './ledger.ts';
import type {LedgerMessage} from './ledger-message.ts';

const retryAfterMs = 5000;

/** A ledger without keepers: every claim is refused as not made, so nothing that may not be repeated runs. */
export class RefusingLedger implements Ledger {
	#outcomes: Array<{requestId: RequestId; outcome: ClaimOutcome}> = [];

	claim({requestId}: ClaimRequest, _now: Millis): void {
		this.#outcomes.push({requestId, outcome: {type: 'unavailable', retryAfterMs}});
	}

	done(_requestId: RequestId, _answer: KeptAnswer | undefined, _now: Millis): void {
		// No claim was granted.
	}

	release(_requestId: RequestId, _now: Millis): void {
		// No claim was granted.
	}

	unknown(_requestId: RequestId, _now: Millis): void {
		// No claim was granted.
	}

	handle(_from: string, _message: LedgerMessage, _now: Millis): void {
		// No claims are kept.
	}

	tick(_now: Millis): void {
		// Nothing expires.
	}

	written(_token: number, _now: Millis): void {
		// Nothing is written.
	}

	keepers(_set: KeeperSet, _now: Millis): void {
		// No claims are kept.
	}

	takeOutcomes() {
		const outcomes = this.#outcomes;
		this.#outcomes = [];
		return outcomes;
	}
}
