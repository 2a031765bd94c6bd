import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/**
 * Marks the candidates that have room for one more request: within the route's limit and within the
 * capacity that the target announced, less what others use of it.
 */
export class LimitsStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		const {targetConcurrency} = context.query.settings;
		for (const candidate of context.candidates) {
			const {target} = candidate;
			candidate.hasRoom = target.inFlight < Math.min(targetConcurrency, target.limit);
		}
	}
}
