import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Restricts a suspected poison request to the targets with the fewest requests of this node in flight. */
export class PoisonStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		if (!context.query.alone) {
			return;
		}

		const least = Math.min(...context.candidates.map(({target}) => target.inFlight));
		context.candidates = context.candidates.filter(({target}) => target.inFlight === least);
	}
}
