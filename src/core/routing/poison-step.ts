import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Sends a suspected poison request only to the targets that do the least other work of this node. */
export class PoisonStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		if (!context.query.alone) {
			return;
		}

		const least = Math.min(...context.candidates.map(({target}) => target.inFlight));
		context.candidates = context.candidates.filter(({target}) => target.inFlight === least);
	}
}
