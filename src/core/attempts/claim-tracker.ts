import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ClaimOutcome} from '../ledger/claim-outcome.ts';
import type {StoredAnswer} from '../ledger/stored-answer.ts';
import type {Ledger} from '../ledger/ledger.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import {toClaimRequest} from './to-claim-request.ts';
import type {RequestState} from './request-state.ts';

/** What a request does next after its claim's outcome. */
type ClaimStep =
	| {readonly type: 'run'}
	| {readonly type: 'replay'; readonly answer: StoredAnswer}
	| {readonly type: 'refuse'; readonly reason: Omit<Refusal, 'ran'>};

/** Claims the non-repeatable requests of this entry in the ledger and settles the claims when the requests end. */
export class ClaimTracker {
	readonly #ledger: Ledger;
	/** Requests that ended before the ledger answered. */
	readonly #abandoned = new Set<RequestId>();

	constructor(ledger: Ledger) {
		this.#ledger = ledger;
	}

	claim(state: RequestState, idempotencyKey: string, settings: RouteSettings, now: Millis): void {
		state.phase = 'claiming';
		this.#ledger.claim(toClaimRequest(state.req, idempotencyKey, settings), now);
	}

	/** Ends a request that still waits for its claim; a claim granted later is released, since nothing was sent. */
	abandon(requestId: RequestId): void {
		this.#abandoned.add(requestId);
	}

	/** Handles an outcome for a request that no longer waits for one; false if the request is unknown. */
	applyLateOutcome(requestId: RequestId, outcome: ClaimOutcome, now: Millis): boolean {
		if (!this.#abandoned.delete(requestId)) {
			return false;
		}

		if (outcome.type === 'granted') {
			this.#ledger.release(requestId, now);
		}

		return true;
	}

	/** Applies an outcome to the request that waits for it. */
	apply(state: RequestState, outcome: ClaimOutcome): ClaimStep {
		state.phase = 'placing';
		switch (outcome.type) {
			case 'granted': {
				state.claim = 'held';
				state.earlierRunPossible = false;
				return {type: 'run'};
			}

			case 'replay': {
				return {type: 'replay', answer: outcome.answer};
			}

			case 'in-progress': {
				return {type: 'refuse', reason: {result: 'inProgress', retryAfterMs: outcome.retryAfterMs}};
			}

			case 'may-have-run': {
				return {type: 'refuse', reason: {result: 'mayHaveRun'}};
			}

			case 'key-reused': {
				state.earlierRunPossible = false;
				return {type: 'refuse', reason: {result: 'keyReused'}};
			}

			case 'unavailable': {
				state.earlierRunPossible &&= outcome.ran !== 'no';
				return {type: 'refuse', reason: {result: 'ledgerUnavailable', retryAfterMs: outcome.retryAfterMs}};
			}
		}
	}

	/** Settles the claim of a request that got its complete answer. */
	settleAnswered(state: RequestState, answer: StoredAnswer | undefined, now: Millis): void {
		if (state.claim === 'held') {
			state.claim = 'none';
			this.#ledger.markDone(state.req.requestId, answer, now);
		}
	}

	/** Settles the claim of a request without a complete answer: its key is released only if the request certainly did not run. */
	settleUnanswered(state: RequestState, now: Millis): void {
		if (state.claim !== 'held') {
			return;
		}

		state.claim = 'none';
		if (state.mayHaveRun) {
			this.#ledger.markUnknown(state.req.requestId, now);
		} else {
			this.#ledger.release(state.req.requestId, now);
		}
	}
}
