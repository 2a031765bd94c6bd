import type {Random} from '../common/random.ts';
import {RemoteRegionStep} from './remote-region-step.ts';
import type {Candidate} from './candidate.ts';
import {HealthStep} from './health-step.ts';
import {CapacityStep} from './capacity-step.ts';
import {PoisonStep} from './poison-step.ts';
import {FinalDecisionStep} from './final-decision-step.ts';
import {ResidencyStep} from './residency-step.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';
import type {Router} from './router.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';
import {ScoreStep} from './score-step.ts';
import {TriedStep} from './tried-step.ts';

/** Runs the routing steps in order until one of them decides. */
export class PipelineRouter implements Router {
	readonly #steps: readonly RoutingStep[];

	constructor(options: {random: Random; steps?: readonly RoutingStep[]}) {
		const {random} = options;
		this.#steps = options.steps ?? [
			new ResidencyStep(),
			new HealthStep(),
			new TriedStep(),
			new PoisonStep(),
			new CapacityStep(),
			new ScoreStep({random}),
			new RemoteRegionStep({random}),
			new FinalDecisionStep({random}),
		];
	}

	choose(query: RouteQuery): RouteDecision {
		const context: RoutingContext = {
			query,
			candidates: query.targets.map(target => this.#candidate(target)),
			ownRegionAllowed: true,
		};
		for (const step of this.#steps) {
			const decision = step.run(context);
			if (decision) {
				return decision;
			}
		}

		return {type: 'refuse', refusal: {result: 'noTarget', ran: 'no'}};
	}

	#candidate(target: Candidate['target']): Candidate {
		return {
			target, hasRoom: true, cachedTokens: 0, firstByteMs: 0, totalMs: 0, score: 0,
		};
	}
}
