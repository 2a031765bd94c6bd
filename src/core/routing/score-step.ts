import type {Random} from '../common/random.ts';
import {affineTarget} from './affine-target.ts';
import type {Candidate} from './candidate.ts';
import {learnTypicalSpeed} from './learn-typical-speed.ts';
import {predictWork} from './predict-work.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Share of the shared prefix that the affine target is taken to have cached though nothing is known of it. */
const affinityCredit = 0.5;

/** Prefix blocks that are taken to be shared with other requests. */
const sharedBlocks = 12;

/** Scores that differ by less than this share are a tie, decided by chance. */
const tieShare = 0.02;

/** Scores each candidate by its predicted time and finds the best one. */
export class ScoreStep implements RoutingStep {
	readonly #random: Random;

	constructor(options: {random: Random}) {
		this.#random = options.random;
	}

	run(context: RoutingContext): undefined {
		const {candidates, query} = context;
		const {req} = query;
		const typical = learnTypicalSpeed(candidates);
		const affine = affineTarget(candidates, req.prefixBlocks);
		for (const candidate of candidates) {
			const {target} = candidate;
			candidate.cachedTokens = Math.min(req.promptTokens, target.cachedBlocks(req.prefixBlocks) * req.prefixBlockTokens);
			const times = predictWork(target, {
				req, typical, cachedTokens: candidate.cachedTokens, hasRoom: candidate.hasRoom, waiting: query.waiting ?? 0,
			});
			candidate.firstByteMs = times.firstByteMs;
			candidate.wholeMs = times.wholeMs;
			candidate.score = times.wholeMs;
			if (target.targetId === affine && candidate.cachedTokens === 0) {
				const credit = Math.min(req.promptTokens, sharedBlocks * req.prefixBlockTokens) * affinityCredit;
				candidate.score -= credit * (target.prefillTokenMs ?? typical.prefillTokenMs);
			}
		}

		context.best = this.#best(candidates);
	}

	/** The lowest score; near ties are broken by chance, so that entries do not all choose alike. */
	#best(candidates: readonly Candidate[]): Candidate | undefined {
		let lowest = Number.POSITIVE_INFINITY;
		for (const {score} of candidates) {
			lowest = Math.min(lowest, score);
		}

		const bound = lowest + (Math.abs(lowest) * tieShare);
		const ties = candidates.filter(({score}) => score <= bound);
		return ties[Math.floor(this.#random.next() * ties.length)];
	}
}
