import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Removes targets that do not serve, and ejected ones unless all are ejected. */
export class HealthStep implements RoutingStep {
	run(context: RoutingContext): undefined {
		const serving = context.candidates.filter(({target}) => target.announcement.state === 'serving');
		const healthy = serving.filter(({target}) => !target.ejected);
		context.candidates = healthy.length > 0 ? healthy : serving;
	}
}
