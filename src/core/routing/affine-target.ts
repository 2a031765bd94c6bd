import {hash32} from '../common/hash32.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Candidate} from './candidate.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** Index of the prefix block that determines affinity: deep enough to distinguish conversations of one organisation. */
const affinityBlockIndex = 4;

/** Divisor that turns a 32-bit hash plus one into a share strictly between 0 and 1. */
const hashRange = (2 ** 32) + 1;

/** Largest load of the affine target relative to the mean load per unit of capacity. */
const loadBoundFactor = 1.25;

/**
 * The target with affinity for a prompt prefix: the first in rendezvous hashing order that has room and does not
 * exceed the load bound; undefined without a prefix or such a target. Entries do not know each other's cache contents,
 * but all of them send the same prefix to the same target this way.
 */
export function affineTarget(candidates: readonly Candidate[], prefixBlocks: readonly string[], typical: TypicalSpeed): TargetId | undefined {
	const block = prefixBlocks[Math.min(affinityBlockIndex, prefixBlocks.length - 1)];
	if (block === undefined) {
		return undefined;
	}

	const prefixHash = hash32(block);
	let best: Candidate | undefined;
	let bestWeight = -1;
	for (const candidate of candidates) {
		const weight = rendezvousWeight(candidate, prefixHash, typical);
		if (weight > bestWeight && candidate.hasRoom && !exceedsLoadBound(candidate, candidates)) {
			best = candidate;
			bestWeight = weight;
		}
	}

	return best?.target.targetId;
}

/** Weighted rendezvous hashing: a target gets prefixes in proportion to its throughput. */
function rendezvousWeight({target}: Candidate, prefixHash: number, typical: TypicalSpeed): number {
	const rate = target.announcement.capacity / (target.tokenMs ?? typical.tokenMs);
	const share = (combineHashes(target.placementHash, prefixHash) + 1) / hashRange;
	return -rate / Math.log(share);
}

/** Combines two 32-bit hashes into a uniformly distributed one. */
function combineHashes(a: number, b: number): number {
	let hash = Math.imul(a ^ (b >>> 3), 0x85_EB_CA_6B) ^ b;
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/** Bounded-load rule: a target may have at most `loadBoundFactor` times its share of the load, rounded up to a whole request. */
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
