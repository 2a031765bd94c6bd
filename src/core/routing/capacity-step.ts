import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Requests that may wait at a target itself, as a share of those that it works on at once. */
const queueShare = 0.25;

/**
 * Marks the candidates that have room for one more request: within the route's limit and within the capacity
 * that the target announced, less what others use of it, and a short queue at the target. The queue lets a
 * request go to the target that has its prefix cached instead of to the one where a slot comes free first.
 */
export class CapacityStep implements RoutingStep {
	readonly #queueShare: number;

	constructor(options: {queueShare?: number} = {}) {
		this.#queueShare = options.queueShare ?? queueShare;
	}

	run(context: RoutingContext): undefined {
		const {targetConcurrency} = context.query.settings;
		for (const candidate of context.candidates) {
			const {target} = candidate;
			const maxInFlight = Math.min(targetConcurrency, target.limit * (1 + this.#queueShare));
			candidate.hasRoom = target.inFlight < maxInFlight;
		}
	}
}
