import type {Millis} from '../ids/millis.ts';
import type {ResultName} from '../results/result-name.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import {isClientError} from './is-client-error.ts';
import type {RequestState} from './request-state.ts';
import {failureResult} from './failure-result.ts';
import type {RetryDecision} from './retry-decision.ts';

/** Results with which a peer refuses a forwarded request and that no other target or region would change. */
const finalResults = new Set<ResultName>([
	'poison', 'incomplete', 'mayHaveRun', 'unauthenticated', 'malformed', 'tooLarge', 'targetRefused',
]);

/**
 * Decides whether a request whose attempt failed is retried, resumed or given up. Expects `state.mayHaveRun` and
 * `state.partiallyAnswered` to include the failed attempt; does not check the retry budget.
 */
export function decideRetry(state: RequestState, failure: AttemptFailure, settings: RouteSettings, now: Millis): RetryDecision {
	if (state.partiallyAnswered) {
		return decideResume(state, settings);
	}

	if (!state.repeatable && state.mayHaveRun) {
		return giveUp('mayHaveRun', false);
	}

	if (failure.refusal && finalResults.has(failure.refusal.result)) {
		return giveUp(failure.refusal.result, failure.refusal.retryAfterMs !== undefined);
	}

	if (isClientError(failure.status)) {
		return giveUp('targetRefused', false);
	}

	if (state.callerGone) {
		return giveUp('callerGone', false);
	}

	if (state.attempts >= settings.maxAttempts || now >= state.deadlineAt) {
		return giveUp(failureResult(failure), true);
	}

	return {type: 'retry'};
}

function decideResume(state: RequestState, settings: RouteSettings): RetryDecision {
	const resumable = state.repeatable && !state.callerGone && state.req.kind === 'completion' && state.req.streamed;
	if (resumable && state.attempts < settings.maxAttempts) {
		return {type: 'resume'};
	}

	return giveUp('incomplete', state.repeatable);
}

function giveUp(result: ResultName, retryable: boolean): RetryDecision {
	return {type: 'give-up', result, retryable};
}
