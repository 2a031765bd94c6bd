import type {Refusal} from '../results/refusal.ts';
import type {RequestState} from './request-state.ts';

/**
 * Turns the reason for a refusal into the final answer of a request. The result takes account of what the request's
 * attempts may have done, and `ran` is `no` only if no attempt can have reached a target. Before the ledger has
 * granted a claim, an earlier request with the same idempotency key may have run, so `ran` is `maybe`.
 */
export function toFinalRefusal(state: RequestState, reason: Omit<Refusal, 'ran'>): Refusal {
	const ran = state.mayHaveRun || state.earlierRunPossible ? 'maybe' : 'no';
	if (state.partiallyAnswered) {
		return {...reason, result: 'incomplete', ran};
	}

	if (state.mayHaveRun && !state.repeatable) {
		return {result: 'mayHaveRun', ran, ...(reason.detail && {detail: reason.detail})};
	}

	if (state.attempts > 0 && reason.result === 'noTarget') {
		return {...reason, result: 'targetFailed', ran};
	}

	return {...reason, ran};
}
