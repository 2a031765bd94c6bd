import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Requests that may wait in a target's own queue, as a share of its concurrency limit. */
const queueShare = 0.25;

/**
 * Marks the candidates that have room for one more request: within the route's limit, and within the target's
 * announced capacity less what other entries use of it, plus a short queue at the target. The queue lets a request go
 * to the target that has its prefix cached instead of the one where a slot frees up first.
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
