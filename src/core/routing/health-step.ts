import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Leaves out ejected targets, unless nothing else is left. */
export class HealthStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		const serving = context.candidates.filter(({target}) => target.announcement.state === 'serving');
		const healthy = serving.filter(({target}) => !target.ejected);
		context.candidates = healthy.length > 0 ? healthy : serving;
	}
}
