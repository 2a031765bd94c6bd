import type {Refusal} from '../results/refusal.ts';
import type {RequestState} from './request-state.ts';

/**
 * Turns a reason to refuse into the final answer of a request: the result tells what the caller can
 * still expect, and `ran` is `no` only if no attempt can have reached a target. Before the ledger has
 * granted a claim, an earlier sending with the same key may have run, so the answer is `maybe`.
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
