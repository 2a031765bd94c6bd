import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {ServiceSpec} from '../routes/service-spec.ts';
import type {PlacementCandidate} from './placement-candidate.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {Prompt} from './prompt.ts';

/** Time that an engine needs for a first event beside reading the prompt, in milliseconds. */
const firstEventMs = 25;
/** Requests beyond its slots that a plain service may have: its own queue covers the way to it and back. */
const maxQueuedCalls = 2;
/** Share of an engine's memory that requests may fill; the rest keeps shared prompt parts. */
const kvCacheShare = 0.9;
/** Share of a prompt's shared tokens that the preferred engine is taken to keep though nothing is known of it. */
const assumedCachedShare = 0.5;
/** Weight of an engine's outstanding work: it slows down every stream there. */
const backlogWeight = 0.25;
/** Cost of a shared prompt token that is read though another engine keeps it, in milliseconds. */
const recomputedTokenMs = 0.06;
/** Part of the objective beyond which a predicted start counts as late, and what that costs, in milliseconds. */
const lateStartShare = 0.7;
const lateStartMs = 1500;
/** Cost of an answer that is not predicted to end in time, in milliseconds. */
const pastDeadlineMs = 3000;
/** Cost of a target that another entry fills first, and of whose queue little is known, in milliseconds. */
const otherPartitionMs = 300;

type RankOptions = {
	readonly prompt?: Prompt;
	readonly spec: ServiceSpec | undefined;
	readonly targets: readonly PooledTarget[];
	/** Targets that this entry fills first; empty if it has no preference. */
	readonly partition?: ReadonlySet<PooledTarget>;
	/** Entries of this region that share the targets. */
	readonly entries: number;
	/** Time left for the first event within the objective, and for the whole answer, in milliseconds. */
	readonly objectiveMs: number;
	readonly leftMs: number;
};

/**
 * Predicts, for each target of the region, when a request would start and end there.
 *
 * Answers the load of long prompts with shared parts on engines of unequal speed: the time to the first event is
 * what the engine still has to read, for others and for this prompt, at the speed that was learnt of it. Prompts
 * with the same shared part prefer the same engine until its queue outweighs what it keeps.
 */
export function rankLocalTargets({prompt, targets, partition: group, ...rest}: RankOptions, now: Millis): readonly PlacementCandidate[] {
	const partitionTargets = group === undefined ? [] : targets.filter(target => group.has(target));
	const preferred = prompt === undefined ? undefined : preferredTarget(prompt, partitionTargets.length > 0 ? partitionTargets : targets);
	return targets
		.map(target => prompt === undefined
			? callCandidate(target, now)
			: streamCandidate(target, {
				...rest, prompt, preferred: target === preferred, inOtherPartition: partitionTargets.length > 0 && !group!.has(target),
			}, now))
		.sort((left, right) => left.costMs - right.costMs);
}

function callCandidate(target: PooledTarget, now: Millis): PlacementCandidate {
	const slots = Math.max(1, target.listed.slots);
	const inFlight = target.inFlight(now);
	const waitMs = Math.max(0, inFlight + 1 - slots) / slots * target.callMs.value;
	const startMs = waitMs + target.callMs.value + (inFlight / slots);
	return {
		target, startMs, costMs: startMs, completionMs: startMs, uncachedTokens: 0, aheadTokens: 0, kvCacheTokens: 0, hasRoom: !target.isFull(now) && inFlight < slots + maxQueuedCalls,
	};
}

type StreamOptions = Omit<RankOptions, 'targets' | 'group'> & {
	readonly prompt: Prompt;
	readonly preferred: boolean;
	/** True if another entry fills the target first. */
	readonly inOtherPartition: boolean;
};

function streamCandidate(target: PooledTarget, {prompt, spec, preferred, inOtherPartition: foreign, entries, objectiveMs, leftMs}: StreamOptions, now: Millis): PlacementCandidate {
	const shared = sharedTokens(prompt);
	const cached = target.prefixCache.cachedTokens(prompt);
	const assumed = preferred ? assumedCachedShare * shared : 0;
	const uncachedTokens = Math.max(1, prompt.promptTokens - Math.max(cached, assumed));
	const aheadTokens = target.pendingPrefillTokens(now);
	const startMs = firstEventMs + ((aheadTokens + uncachedTokens) / target.prefillRate.value);
	const events = prompt.outputTokens / (spec?.engine?.tokensPerEvent ?? 1);
	const memoryTokens = prompt.promptTokens - shared + prompt.outputTokens;
	const capacity = kvCacheShare * (spec?.engine?.cacheTokens ?? Number.POSITIVE_INFINITY);
	const others = target.othersInFlight(now);
	const meanKvCacheTokens = target.attempts.size === 0 ? memoryTokens : target.kvCacheTokens() / target.attempts.size;
	const expectedKvCacheTokens = target.kvCacheTokens() + (others * meanKvCacheTokens) + memoryTokens;
	const slots = Math.max(1, target.listed.slots);
	const hasRoom = !target.isFull(now) && target.inFlight(now) < slots && (expectedKvCacheTokens <= capacity || target.attempts.size < slots / 8 / entries);
	const wholeMs = startMs + (events * target.gapMs.value);
	const recomputedTokens = Math.max(0, shared - Math.max(cached, assumed));
	const costMs = startMs
		+ (backlogWeight * target.backlogMs(now))
		+ (recomputedTokenMs * recomputedTokens)
		+ (foreign ? otherPartitionMs : 0)
		+ (startMs > lateStartShare * objectiveMs ? lateStartMs : 0)
		+ (wholeMs > leftMs ? pastDeadlineMs : 0);
	return {
		target, startMs, costMs, completionMs: wholeMs, uncachedTokens, aheadTokens, kvCacheTokens: memoryTokens, hasRoom,
	};
}

/** Tokens of all parts but the last, which is the request's own. */
function sharedTokens({parts}: Prompt): number {
	return parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Rendezvous hashing over the last shared part: every entry that knows the same targets prefers the same one. */
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
