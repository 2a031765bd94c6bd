import type {Random} from '../common/random.ts';
import {affineTarget} from './affine-target.ts';
import type {Candidate} from './candidate.ts';
import {estimateTypicalSpeed} from './estimate-typical-speed.ts';
import {objective} from './objective.ts';
import {predictWork} from './predict-work.ts';
import {PriorityDistribution} from './priority-distribution.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Smallest share of the prompt that is assumed to be cached on the affine target, whatever is known of its cache. */
const assumedCachedShare = 0.4;

/** Age below which a request is counted in the priority distribution, in milliseconds: a waiting request is scored repeatedly. */
const newRequestMs = 10;

/** Scores within this share of the lowest one are a tie, decided at random. */
const tieTolerance = 0.02;

/** Scores each candidate and selects the best one among those predicted to meet the deadline, or among all if none is. */
export class ScoreStep implements RoutingStep {
	readonly #random: Random;
	readonly #priorities = new PriorityDistribution();

	constructor(options: {random: Random}) {
		this.#random = options.random;
	}

	run(context: RoutingContext): undefined {
		const {candidates, query} = context;
		const {req} = query;
		if (query.now - req.arrivedAt < newRequestMs) {
			this.#priorities.observe(req.priority);
		}

		const waitFactor = this.#priorities.waitFactor(req.priority);
		const typical = estimateTypicalSpeed(candidates);
		const affine = affineTarget(candidates, req.prefixBlocks, typical);
		for (const candidate of candidates) {
			const {target, hasRoom} = candidate;
			candidate.cachedTokens = Math.min(req.promptTokens, target.cachedBlocks(req.prefixBlocks) * req.prefixBlockTokens);
			const assumed = target.targetId === affine ? req.promptTokens * assumedCachedShare : 0;
			const cachedTokens = Math.max(candidate.cachedTokens, assumed);
			const {firstByteMs, totalMs, delayMs} = predictWork(target, {
				req, typical, cachedTokens, hasRoom, waiting: query.waiting ?? 0, waitFactor,
			});
			candidate.firstByteMs = firstByteMs;
			candidate.totalMs = totalMs;
			candidate.score = objective({firstByteMs, totalMs, delayMs});
		}

		const inTime = candidates.filter(({firstByteMs}) => query.now + firstByteMs <= req.deadlineAt);
		context.best = this.#best(inTime.length > 0 ? inTime : candidates);
	}

	/** The candidate with the lowest score; near ties are broken at random, so that entries do not all choose the same one. */
	#best(candidates: readonly Candidate[]): Candidate | undefined {
		let lowest = Number.POSITIVE_INFINITY;
		for (const {score} of candidates) {
			lowest = Math.min(lowest, score);
		}

		const bound = lowest + (Math.abs(lowest) * tieTolerance);
		const ties = candidates.filter(({score}) => score <= bound);
		return ties[Math.floor(this.#random.next() * ties.length)];
	}
}
