import type {Random} from '../common/random.ts';
import {affineTarget} from './affine-target.ts';
import type {Candidate} from './candidate.ts';
import {estimateTypicalSpeed} from './estimate-typical-speed.ts';
import {objective} from './objective.ts';
import {predictWork} from './predict-work.ts';
import {PriorityDistribution} from './priority-distribution.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Share of the prompt that the affine target is taken to have cached though nothing is known of it. */
const assumedCachedShare = 0.4;

/** Age up to which a request counts as new; those that wait are chosen for again and again. */
const newRequestMs = 10;

/** Scores that differ by less than this share are a tie, decided by chance. */
const tieTolerance = 0.02;

/** Scores each candidate by its predicted time and finds the best one of those that meet the deadline. */
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
			const {firstByteMs, totalMs: wholeMs, delayMs} = predictWork(target, {
				req, typical, cachedTokens, hasRoom, waiting: query.waiting ?? 0, waitFactor,
			});
			candidate.firstByteMs = firstByteMs;
			candidate.totalMs = wholeMs;
			candidate.score = objective({firstByteMs, totalMs: wholeMs, delayMs});
		}

		const inTime = candidates.filter(({firstByteMs}) => query.now + firstByteMs <= req.deadlineAt);
		context.best = this.#best(inTime.length > 0 ? inTime : candidates);
	}

	/** The lowest score; near ties are broken by chance, so that entries do not all choose alike. */
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
