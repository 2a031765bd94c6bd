import type {RouteDecision} from './route-decision.ts';
import type {RoutingContext} from './routing-context.ts';

/** One step of a choice: narrows the candidates, or decides. */
export interface RoutingStep {
	run(context: RoutingContext): RouteDecision | undefined;
}
