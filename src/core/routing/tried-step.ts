import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Removes the targets that the query excludes, such as those that the request already tried. */
export class TriedStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		const {targets} = context.query.tried;
		context.candidates = context.candidates.filter(({target}) => !targets.has(target.targetId));
	}
}
