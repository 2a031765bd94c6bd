import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Leaves out targets that the request tried before. */
export class TriedStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		const {targets} = context.query.tried;
		context.candidates = context.candidates.filter(({target}) => !targets.has(target.targetId));
	}
}
