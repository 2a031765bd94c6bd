import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import {fullBatchSlowdown} from '../targets/full-batch-slowdown.ts';
import type {ServiceSpec} from '../routes/service-spec.ts';
import type {PlacementCandidate} from './placement-candidate.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {Prompt} from './prompt.ts';
import {sharedParts} from './shared-parts.ts';

/** Requests beyond its slots that a target of a plain service may get, so that its own queue covers the round trip. */
const maxQueuedCalls = 2;
/** Share of an engine's KV cache that requests may fill; the rest is left to shared prompt parts. */
const kvCacheShare = 0.9;
/** Smallest share of a prompt's shared tokens that is assumed to be cached at the preferred engine. */
const assumedCachedShare = 0.5;
/** Weight of an engine's backlog in the cost: it slows down every stream there. */
const backlogWeight = 0.25;
/** Cost of prefilling a shared prompt token again although another engine may have it cached, in milliseconds. */
const recomputedTokenMs = 0.06;
/** Share of the remaining objective beyond which a predicted start counts as late. */
const lateStartShare = 0.7;
/** Cost of a late start, in milliseconds. */
const lateStartMs = 1500;
/** Cost of an answer that is predicted to end after the deadline, in milliseconds. */
const pastDeadlineMs = 3000;
/** Cost of a target in the partition of another placer, whose queue this entry knows little about, in milliseconds. */
const otherPartitionMs = 300;
/** Cost of a request that its target fails, in milliseconds: its caller has to come again, or gets nothing. */
const failedRequestMs = 2000;

type RankOptions = {
	readonly prompt?: Prompt;
	readonly spec: ServiceSpec | undefined;
	readonly targets: readonly PooledTarget[];
	/** Targets that this entry fills first as a placer; empty or undefined if it has no preference. */
	readonly partition?: ReadonlySet<PooledTarget>;
	/** Entries of this region that share the limits that targets name. */
	readonly limitEntries: number;
	/** Time left for the first event within the latency objective, in milliseconds. */
	readonly objectiveMs: number;
	/** Time left until the deadline, in milliseconds. */
	readonly leftMs: number;
};

/**
 * Predicts, for each target of the region, when a request would start and end there; the cheapest target comes first.
 *
 * Long prompts with shared parts meet engines of unequal speed. The predicted time to the first event is therefore the
 * outstanding prefill, of earlier requests and of this prompt, at the engine's measured prefill rate. Prompts with the
 * same shared part prefer the same engine until its backlog outweighs the cached tokens.
 */
export function rankLocalTargets({prompt, targets, partition, ...rest}: RankOptions, now: Millis): readonly PlacementCandidate[] {
	if (prompt !== undefined) {
		targets[0]?.costs.recordObjective(prompt, rest.objectiveMs);
	}

	const partitionTargets = partition === undefined ? [] : targets.filter(target => partition.has(target));
	const preferred = prompt === undefined ? undefined : preferredTarget(prompt, partitionTargets.length > 0 ? partitionTargets : targets);
	return targets
		.map(target => prompt === undefined
			? callCandidate(target, rest.limitEntries, now)
			: streamCandidate(target, {
				...rest, prompt, preferred: target === preferred, inOtherPartition: partitionTargets.length > 0 && !partition!.has(target),
			}, now))
		.sort((left, right) => left.costMs - right.costMs);
}

function callCandidate(target: PooledTarget, limitEntries: number, now: Millis): PlacementCandidate {
	const slots = Math.max(1, target.listed.slots);
	const inFlight = target.inFlight(now);
	const callMs = target.callMs(now);
	const waitMs = Math.max(0, inFlight + 1 - slots) / slots * callMs;
	// The last term breaks ties in favour of the less loaded target.
	const limitWaitMs = target.limitWaitMs(limitEntries, now);
	const isBrittle = target.rejectionsPerSecond !== undefined;
	const startMs = limitWaitMs + waitMs + callMs + (inFlight / slots);
	return {
		target,
		startMs,
		costMs: startMs + failureCostMs(target, now),
		completionMs: startMs,
		uncachedTokens: 0,
		aheadTokens: 0,
		kvCacheTokens: 0,
		hasRoom: limitWaitMs === 0 && !target.isFull(now) && (isBrittle ? target.hasCertainRoom(limitEntries, now) : inFlight < slots + maxQueuedCalls),
	};
}

type StreamOptions = Omit<RankOptions, 'targets' | 'partition'> & {
	readonly prompt: Prompt;
	readonly preferred: boolean;
	/** True if the target belongs to the partition of another placer. */
	readonly inOtherPartition: boolean;
};

function streamCandidate(target: PooledTarget, {prompt, spec, preferred, inOtherPartition, limitEntries, objectiveMs, leftMs}: StreamOptions, now: Millis): PlacementCandidate {
	const shared = sharedTokens(prompt);
	const cached = target.prefixCache.cachedTokens(prompt);
	const assumed = preferred ? assumedCachedShare * shared : 0;
	const uncachedTokens = Math.max(1, prompt.promptTokens - Math.max(cached, assumed));
	const {prefillTokens: aheadTokens, outputTokens: outputAhead, kvCacheTokens: ownKvCacheTokens} = target.ownWork(now);
	const prefillMs = target.prefillMs(now);
	const eventMs = target.eventMs(now);
	const limitWaitMs = target.limitWaitMs(limitEntries, now);
	const startMs = limitWaitMs + eventMs + ((aheadTokens + uncachedTokens) * prefillMs);
	const tokensPerEvent = spec?.engine?.tokensPerEvent ?? 1;
	const events = target.costs.outputTokens(prompt) / tokensPerEvent;
	const kvCacheTokens = prompt.promptTokens - shared + target.costs.outputTokens(prompt, {cautious: true});
	const capacity = kvCacheShare * (spec?.engine?.cacheTokens ?? Number.POSITIVE_INFINITY);
	const others = target.othersInFlight(now);
	const meanKvCacheTokens = target.costs.kvCacheTokens.value ?? kvCacheTokens;
	const expectedKvCacheTokens = ownKvCacheTokens + (others * meanKvCacheTokens) + kvCacheTokens;
	const slots = Math.max(1, target.listed.slots);
	// A request larger than the whole KV cache may run alone.
	const isBrittle = target.rejectionsPerSecond !== undefined;
	const hasMemory = expectedKvCacheTokens <= capacity || (!isBrittle && target.inFlight(now) < 1);
	const hasSlot = isBrittle ? target.hasCertainRoom(limitEntries, now) : target.inFlight(now) < slots;
	const hasRoom = limitWaitMs === 0 && !target.isFull(now) && hasSlot && hasMemory;
	const completionMs = startMs + (events * eventMs);
	// Each output token takes the share of a step by which a further stream prolongs it.
	const outputMs = fullBatchSlowdown * eventMs / tokensPerEvent / (slots + target.attempts.size + others);
	const backlogMs = (aheadTokens * prefillMs) + (outputAhead * outputMs);
	const recomputedTokens = Math.max(0, shared - Math.max(cached, assumed));
	const costMs = startMs
		+ (backlogWeight * backlogMs)
		+ (recomputedTokenMs * recomputedTokens)
		+ (inOtherPartition ? otherPartitionMs : 0)
		+ failureCostMs(target, now)
		+ (startMs > lateStartShare * objectiveMs ? lateStartMs : 0)
		+ (completionMs > leftMs ? pastDeadlineMs : 0);
	return {
		target, startMs, costMs, completionMs, uncachedTokens, aheadTokens, kvCacheTokens, hasRoom,
	};
}

/** Expected cost of the target's failures. Engines that fail part of their requests may report that they serve, and say so to probes. */
function failureCostMs({failureShare}: PooledTarget, now: Millis): number {
	return failureShare.value(now) * failedRequestMs;
}

/** Tokens of the shared parts; a caller may state more than the whole prompt has. */
function sharedTokens(prompt: Prompt): number {
	return Math.min(prompt.promptTokens, sharedParts(prompt).reduce((sum, {tokens}) => sum + tokens, 0));
}

/** Target preferred for a prompt, by rendezvous hashing over its last shared part: entries that know the same targets prefer the same one. */
function preferredTarget({parts}: Prompt, targets: readonly PooledTarget[]): PooledTarget | undefined {
	const shared = parts.at(-2);
	if (shared === undefined) {
		return undefined;
	}

	let best: PooledTarget | undefined;
	let bestRank = Number.POSITIVE_INFINITY;
	for (const target of targets) {
		const rank = hash32(`${shared.id}:${target.listed.targetId}`);
		if (rank < bestRank) {
			best = target;
			bestRank = rank;
		}
	}

	return best;
}
