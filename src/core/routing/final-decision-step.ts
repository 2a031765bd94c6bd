import type {Random} from '../common/random.ts';
import {jitteredRetryAfterMs} from '../admission/jittered-retry-after-ms.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Retry delay given when no target is known, before jitter, in milliseconds. */
const noTargetRetryMs = 2000;

/** Decides on the best candidate: `target` if it has room, `wait` if not, `refuse` if it would miss the deadline or there is none. */
export class FinalDecisionStep implements RoutingStep {
	readonly #random: Random;

	constructor(options: {random: Random}) {
		this.#random = options.random;
	}

	run(context: RoutingContext): RouteDecision {
		const {best, query} = context;
		if (!best) {
			return this.#refuseWithoutTarget(context);
		}

		if (query.now + best.firstByteMs > query.req.deadlineAt) {
			return this.#refuseLate(context, best.firstByteMs);
		}

		if (!best.hasRoom) {
			return {type: 'wait', predictedMs: best.firstByteMs};
		}

		return {
			type: 'target',
			targetId: best.target.targetId,
			predictedMs: best.firstByteMs,
			cachedTokens: best.cachedTokens,
		};
	}

	#refuseWithoutTarget(context: RoutingContext): RouteDecision {
		if (!context.ownRegionAllowed) {
			return {type: 'refuse', refusal: {result: 'residency', ran: 'no', retryAfterMs: jitteredRetryAfterMs(noTargetRetryMs, this.#random)}};
		}

		return {type: 'refuse', refusal: {result: 'noTarget', ran: 'no', retryAfterMs: jitteredRetryAfterMs(noTargetRetryMs, this.#random)}};
	}

	/** Refuses with `overloaded` if no candidate has room, and with `deadline` if targets are too slow although one has room. */
	#refuseLate(context: RoutingContext, predictedMs: number): RouteDecision {
		const {query} = context;
		const busy = context.candidates.every(({hasRoom}) => !hasRoom);
		const lateMs = query.now + predictedMs - query.req.deadlineAt;
		return {
			type: 'refuse',
			refusal: {
				result: busy ? 'overloaded' : 'deadline',
				ran: 'no',
				retryAfterMs: jitteredRetryAfterMs(lateMs, this.#random),
			},
		};
	}
}
