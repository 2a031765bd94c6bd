import type {RequestInfo} from '../settings/request-info.ts';
import type {RequestState} from './request-state.ts';

/** The work that is left of a request, for routing and queueing: after an interrupted answer, the delivered tokens become part of the prompt. */
export function remainingRequest(state: RequestState): RequestInfo {
	if (!state.partiallyAnswered) {
		return state.req;
	}

	return {
		...state.req,
		promptTokens: state.req.promptTokens + state.deliveredTokens,
		outputTokens: Math.max(1, state.req.outputTokens - state.deliveredTokens),
		deadlineAt: state.deadlineAt,
	};
}
