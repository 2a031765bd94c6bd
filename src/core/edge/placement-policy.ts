import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import {rankLocalTargets} from './rank-local-targets.ts';
import type {PlacementCandidate} from './placement-candidate.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {RegionSelector} from './region-selector.ts';
import type {RequestRecord} from './request-record.ts';
import {retryAfter} from './retry-after.ts';
import type {TargetPool} from './target-pool.ts';

/** Gain from which on a request goes to another region, in milliseconds: its bytes are dear. */
const remoteRegionPenaltyMs = 150;
/** Time kept for the way of an answer to the caller, in milliseconds. */
const answerMarginMs = 20;

/** Where a request goes now. */
type Placement =
	| {readonly type: 'target'; readonly candidate: PlacementCandidate}
	| {readonly type: 'away'; readonly region: Region; readonly address: string; readonly startMs: number}
	| {readonly type: 'wait'}
	| {readonly type: 'refuse'; readonly reason: EdgeRefusal['reason']; readonly retryAfterMs: number};

type PlacementPolicyOptions = {
	readonly region: Region;
	/** Where other entries pass requests on to this one. */
	readonly relayAddress: string;
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly random: Random;
};

/**
 * Decides between a target of this region, another region, waiting and refusing.
 *
 * Answers a region whose peak exceeds its own targets: the request goes where it is predicted to cost least, to
 * another region only for a gain worth its bytes; it waits only while it can still be served in time, and what
 * cannot is refused at once. In a region whose prompts are placed by some of its entries, the others pass them on once.
 */
export class PlacementPolicy {
	readonly #options: PlacementPolicyOptions;

	constructor(options: PlacementPolicyOptions) {
		this.#options = options;
	}

	decide(record: RequestRecord, now: Millis): Placement {
		const {regions, random} = this.#options;
		const {req, route, service} = record;
		const leftMs = record.deadlineAt - now - answerMarginMs;
		const targets = this.#eligibleTargets(record, now);
		const placer = this.#placer(record, now);
		if (placer !== undefined && targets.length > 0) {
			return {type: 'away', region: this.#options.region, ...placer};
		}

		const local = this.#localCandidates(record, targets, now);
		const best = local.find(({hasRoom, startMs}) => hasRoom && startMs < leftMs);
		const mayForward = req.forwarded === undefined || req.forwarded.region === this.#options.region;
		const [remote] = mayForward ? regions.candidates({service, homes: route.homes, prompt: req.prompt}, now) : [];
		const remoteCostMs = remote === undefined ? Number.POSITIVE_INFINITY : remote.costMs + remoteRegionPenaltyMs;
		if (best !== undefined && best.costMs <= remoteCostMs) {
			return {type: 'target', candidate: best};
		}

		if (remote !== undefined && remote.startMs < leftMs) {
			return {type: 'away', ...remote};
		}

		const soonestMs = Math.min(...local.map(({startMs}) => startMs), remote?.startMs ?? Number.POSITIVE_INFINITY);
		if (local.length > 0 && soonestMs < leftMs) {
			return {type: 'wait'};
		}

		return {
			type: 'refuse',
			reason: local.length === 0 ? 'no-target' : 'overloaded',
			retryAfterMs: retryAfter(Number.isFinite(soonestMs) ? soonestMs / 2 : 1000, random),
		};
	}

	/** The entry of this region that has to place a request; undefined if this one has. */
	#placer({req, service, forwardCount: awaySends}: RequestRecord, now: Millis): {address: string; startMs: number} | undefined {
		const {regions, relayAddress} = this.#options;
		if (req.prompt === undefined || req.forwarded !== undefined || awaySends > 0) {
			return undefined;
		}

		const placer = regions.placer({service, prompt: req.prompt}, now);
		return placer?.address === relayAddress ? undefined : placer;
	}

	/** Targets of this region that may get a request. */
	#eligibleTargets({route, service, excludedTargets: tried}: RequestRecord, now: Millis): readonly PooledTarget[] {
		const {region, pool} = this.#options;
		if (route.homes.length > 0 && !route.homes.includes(region)) {
			return [];
		}

		return pool.usable(service, now).filter(({listed}) => !tried.has(listed.targetId));
	}

	/** Places at targets for a request, the cheapest first. */
	#localCandidates({req, route, service, table, deadlineAt}: RequestRecord, targets: readonly PooledTarget[], now: Millis): readonly PlacementCandidate[] {
		const {relayAddress, pool, regions} = this.#options;
		const {placers} = regions;
		return rankLocalTargets({
			prompt: req.prompt,
			spec: table.service(service),
			targets,
			partition: pool.partition(service, {count: placers.length, index: placers.indexOf(relayAddress)}),
			entries: regions.placingEntryCount,
			objectiveMs: route.objectiveMs - (now - req.arrivedAt),
			leftMs: deadlineAt - now,
		}, now);
	}
}
