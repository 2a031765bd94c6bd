import type {Random} from '../common/random.ts';
import {AwayStep} from './away-step.ts';
import type {Candidate} from './candidate.ts';
import {HealthStep} from './health-step.ts';
import {LimitsStep} from './limits-step.ts';
import {PoisonStep} from './poison-step.ts';
import {ReserveStep} from './reserve-step.ts';
import {ResidencyStep} from './residency-step.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';
import type {Router} from './router.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';
import {ScoreStep} from './score-step.ts';
import {TriedStep} from './tried-step.ts';

/** Runs the steps of a choice one after the other; the first decision stands. */
export class PipelineRouter implements Router {
	readonly #steps: readonly RoutingStep[];

	constructor(options: {random: Random; steps?: readonly RoutingStep[]}) {
		const {random} = options;
		this.#steps = options.steps ?? [
			new ResidencyStep(),
			new HealthStep(),
			new TriedStep(),
			new PoisonStep(),
			new LimitsStep(),
			new ScoreStep({random}),
			new AwayStep({random}),
			new ReserveStep({random}),
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
			target, hasRoom: true, cachedTokens: 0, firstByteMs: 0, wholeMs: 0, score: 0,
		};
	}
}
