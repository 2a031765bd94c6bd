import {hash32} from '../common/hash32.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Candidate} from './candidate.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** Index of the prefix block that decides on affinity: deep enough to tell histories of one organisation apart. */
const affinityBlockIndex = 4;

/** One more than the largest hash. */
const hashRange = (2 ** 32) + 1;

/** Largest load of the affine target relative to the mean share of capacity in use. */
const loadBoundFactor = 1.25;

/**
 * The target that entries agree on for a prefix: the first in the order of rendezvous hashing that has room and
 * is not much busier than the rest.
 * It makes entries that know nothing of each other's caches send the same prefix to the same target.
 */
export function affineTarget(candidates: readonly Candidate[], prefixBlocks: readonly string[], typical: TypicalSpeed): TargetId | undefined {
	const block = prefixBlocks[Math.min(affinityBlockIndex, prefixBlocks.length - 1)];
	if (block === undefined) {
		return undefined;
	}

	const placement = hash32(block);
	let best: Candidate | undefined;
	let bestWeight = -1;
	for (const candidate of candidates) {
		const weight = rendezvousWeight(candidate, placement, typical);
		if (weight > bestWeight && candidate.hasRoom && !exceedsLoadBound(candidate, candidates)) {
			best = candidate;
			bestWeight = weight;
		}
	}

	return best?.target.targetId;
}

/** Weighted rendezvous hashing: a target gets prefixes in proportion to the work it can do. */
function rendezvousWeight({target}: Candidate, placement: number, typical: TypicalSpeed): number {
	const rate = target.announcement.capacity / (target.tokenMs ?? typical.tokenMs);
	const share = (combineHashes(target.placementHash, placement) + 1) / hashRange;
	return -rate / Math.log(share);
}

/** Combines two hashes into a third one, evenly spread. */
function combineHashes(a: number, b: number): number {
	let hash = Math.imul(a ^ (b >>> 3), 0x85_EB_CA_6B) ^ b;
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/** The bounded-load rule: at most a fixed factor over the mean, rounded up to one request. */
function exceedsLoadBound(candidate: Candidate, candidates: readonly Candidate[]): boolean {
	let load = 1;
	let capacity = 0;
	for (const {target} of candidates) {
		load += target.inFlight + target.othersInFlight;
		capacity += target.announcement.capacity;
	}

	const {target} = candidate;
	const bound = Math.ceil(loadBoundFactor * load * target.announcement.capacity / Math.max(1, capacity));
	return target.inFlight + target.othersInFlight >= bound;
}
