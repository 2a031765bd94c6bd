import type {Millis} from '../ids/millis.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {EdgeRequest} from './edge-request.ts';
import type {RequestRecord} from './request-record.ts';

/** Creates the record of a request that has just arrived. A forwarded request stays with the service that was chosen for it; otherwise the route picks one. */
export function createRequestRecord(req: EdgeRequest, route: RouteRule, table: RouteTable): RequestRecord {
	const {origin, service} = req.forwarded ?? {};
	// The entry that forwarded a request has applied the timeout of its own document.
	const timeoutMs = req.forwarded === undefined || req.budgetMs === undefined ? route.timeoutMs : Number.POSITIVE_INFINITY;
	const limitMs = Math.min(req.budgetMs ?? Number.POSITIVE_INFINITY, timeoutMs);
	const organisation = req.organisation === undefined ? undefined : table.organisations.get(req.organisation);
	return {
		req,
		route,
		priority: organisation?.priority ?? route.priority,
		service: origin?.service ?? service ?? table.pickService(route, req.callerKey),
		table,
		deadlineAt: req.arrivedAt + limitMs as Millis,
		cutByStop: false,
		kept: [],
		mayHaveRunOn: new Set(),
		excludedTargets: new Set(),
		resends: 0,
		sends: 0,
		forwardCount: 0,
		forwardedRuns: new Set(),
		mayHaveRun: false,
		counted: false,
		retryReserved: false,
		retryRefused: false,
		isTrial: false,
		headPassed: false,
		passedEvents: 0,
		lastEventId: req.resumeAfter,
		origin: origin && {softwareVersion: origin.softwareVersion},
	};
}
