import type {RequestInfo} from '../settings/request-info.ts';
import type {RequestState} from './request-state.ts';

/** The request as the router and the queues see it: after a break, only the rest of the answer is asked for. */
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
