import type {Random} from '../src/core/common/random.ts';
import type {Candidate} from '../src/core/routing/candidate.ts';
import {estimateTypicalSpeed} from '../src/core/routing/estimate-typical-speed.ts';
import {predictWork} from '../src/core/routing/predict-work.ts';
import type {RoutingContext} from '../src/core/routing/routing-context.ts';
import type {RoutingStep} from '../src/core/routing/routing-step.ts';

/** Policies that the bench compares with the product's. */
type BaselineName = 'round-robin' | 'random' | 'least-in-flight' | 'power-of-two';

/**
 * Replaces the product's score step by a common load-balancing policy over the home region's targets that have room;
 * if none has room, it chooses the lowest predicted time to the first byte. It uses the same loads and
 * limits as the product's own policy, and the same predictions for refusing late requests.
 */
export class BaselineStep implements RoutingStep {
	readonly #name: BaselineName;
	readonly #random: Random;
	#turn = 0;

	constructor(options: {name: BaselineName; random: Random}) {
		this.#name = options.name;
		this.#random = options.random;
	}

	run(context: RoutingContext): undefined {
		const {candidates, query} = context;
		const typical = estimateTypicalSpeed(candidates);
		for (const candidate of candidates) {
			const {req} = query;
			candidate.cachedTokens = Math.min(req.promptTokens, candidate.target.cachedBlocks(req.prefixBlocks) * req.prefixBlockTokens);
			Object.assign(candidate, predictWork(candidate.target, {
				req, typical, cachedTokens: candidate.cachedTokens, hasRoom: candidate.hasRoom, waiting: query.waiting ?? 0,
			}));
		}

		const withRoom = candidates.filter(({hasRoom}) => hasRoom);
		context.best = withRoom.length > 0
			? this.#choose(withRoom)
			: candidates.toSorted((a, b) => a.firstByteMs - b.firstByteMs)[0];
	}

	#choose(withRoom: readonly Candidate[]): Candidate | undefined {
		switch (this.#name) {
			case 'round-robin': {
				this.#turn += 1;
				return withRoom[this.#turn % withRoom.length];
			}

			case 'random': {
				return this.#pickRandom(withRoom);
			}

			case 'least-in-flight': {
				const least = Math.min(...withRoom.map(candidate => totalInFlight(candidate)));
				return this.#pickRandom(withRoom.filter(candidate => totalInFlight(candidate) === least));
			}

			case 'power-of-two': {
				const [first, second] = [this.#pickRandom(withRoom)!, this.#pickRandom(withRoom)!];
				return totalInFlight(first) <= totalInFlight(second) ? first : second;
			}
		}
	}

	#pickRandom(candidates: readonly Candidate[]): Candidate | undefined {
		return candidates[Math.floor(this.#random.next() * candidates.length)];
	}
}

function totalInFlight({target}: Candidate): number {
	return target.inFlight + target.othersInFlight;
}
