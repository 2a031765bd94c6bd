import type {RouteDecision} from './route-decision.ts';
import type {RoutingContext} from './routing-context.ts';

/** A step of the routing pipeline: updates the context, or decides. */
export interface RoutingStep {
	run(context: RoutingContext): RouteDecision | undefined;
}
