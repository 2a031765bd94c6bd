import type {RequestInfo} from '../settings/request-info.ts';
import type {RequestState} from './request-state.ts';

/** The request as the router and the queues see it: after a break, only the rest of the answer is asked for. */
export function routedRequest(state: RequestState): RequestInfo {
	if (!state.passedOn) {
		return state.req;
	}

	return {
		...state.req,
		promptTokens: state.req.promptTokens + state.tokensPassedOn,
		outputTokens: Math.max(1, state.req.outputTokens - state.tokensPassedOn),
		deadlineAt: state.deadlineAt,
	};
}
