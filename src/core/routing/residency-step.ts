import type {Region} from '../ids/region.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Rules out this node's region if the residency of the request or its route does not allow it; refuses the request if no other region may serve it or it was forwarded already. */
export class ResidencyStep implements RoutingStep {
	/** True if the residency of both the request and its route allow a region. */
	static allows(query: RouteQuery, region: Region): boolean {
		const byRequest = query.req.residency?.includes(region) ?? true;
		const byRoute = query.settings.residency?.includes(region) ?? true;
		return byRequest && byRoute;
	}

	run(context: RoutingContext): RouteDecision | undefined {
		const {query} = context;
		context.ownRegionAllowed = ResidencyStep.allows(query, query.region);
		if (context.ownRegionAllowed) {
			return undefined;
		}

		context.candidates = [];
		const elsewhere = query.regions.some(view => ResidencyStep.allows(query, view.region));
		const forwarded = query.req.forwardedBy !== undefined;
		if (forwarded || !elsewhere) {
			return {type: 'refuse', refusal: {result: 'residency', ran: 'no'}};
		}

		return undefined;
	}
}
