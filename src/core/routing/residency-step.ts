import {residencyAllows} from './residency-allows.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Rules out this node's region if the residency of the request or its route does not allow it; refuses the request if no other region may serve it or it was forwarded already. */
export class ResidencyStep implements RoutingStep {
	run(context: RoutingContext): RouteDecision | undefined {
		const {query} = context;
		context.ownRegionAllowed = residencyAllows(query, query.region);
		if (context.ownRegionAllowed) {
			return undefined;
		}

		context.candidates = [];
		const elsewhere = query.regions.some(view => residencyAllows(query, view.region));
		const forwarded = query.req.forwardedBy !== undefined;
		if (forwarded || !elsewhere) {
			return {type: 'refuse', refusal: {result: 'residency', ran: 'no'}};
		}

		return undefined;
	}
}
