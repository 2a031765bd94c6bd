import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {RequestState} from './request-state.ts';

/** Initial state of a request on arrival. */
export function createRequestState(req: RequestInfo, settings: RouteSettings): RequestState {
	const {firm, deployment, service, route} = req.path;
	const serviceKey = `${firm}/${deployment}/${service}`;
	const claimedElsewhere = req.forwardedBy?.claimed === true;
	const repeatable = settings.repeatable && !claimedElsewhere;
	return {
		req,
		serviceKey,
		routeKey: `${serviceKey}/${route}`,
		repeatable,
		phase: 'placing',
		claim: claimedElsewhere ? 'elsewhere' : 'none',
		attempts: 0,
		triedTargets: new Map(),
		triedRegions: new Set(),
		earlierRunPossible: !repeatable && !req.forwardedBy && req.idempotencyKey !== undefined,
		mayHaveRun: false,
		partiallyAnswered: false,
		deliveredTokens: 0,
		deadlineAt: req.deadlineAt,
		callerGone: false,
		parkedUntil: req.arrivedAt,
	};
}
