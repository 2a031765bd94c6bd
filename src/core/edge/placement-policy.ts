import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import {retryAfterPauseMs} from '../targets/retry-after-pause-ms.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import {rankLocalTargets} from './rank-local-targets.ts';
import {homesOf} from './homes-of.ts';
import {mayContinueAt} from './may-continue-at.ts';
import type {PlacementCandidate} from './placement-candidate.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {RegionSelector} from './region-selector.ts';
import type {RequestRecord} from './request-record.ts';
import {callerRetryAfterMs} from './caller-retry-after-ms.ts';
import type {StartupWait} from './startup-wait.ts';
import type {TargetPool} from './target-pool.ts';

/** Amount by which the cost in a remote region must be lower than at a target of this region, in milliseconds: traffic between regions is expensive. */
const remoteRegionPenaltyMs = 150;
/** Time reserved for sending the answer to the caller, in milliseconds. */
const answerMarginMs = 20;

/** Decision about a request. `away` forwards it to another entry: of a remote region, or a placer of this region. */
type Placement =
	| {readonly type: 'target'; readonly candidate: PlacementCandidate}
	| {readonly type: 'away'; readonly region: Region; readonly address: string; readonly startMs: number}
	| {
		readonly type: 'wait';
		/** True if no target could take it now: it waits for the end of a pause, and must not keep others from a free target. */
		readonly forPause: boolean;
	}
	| {readonly type: 'refuse'; readonly reason: EdgeRefusal['reason']; readonly retryAfterMs: number};

type PlacementPolicyOptions = {
	readonly region: Region;
	/** Address at which other entries forward requests to this one. */
	readonly relayAddress: string;
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly startup: StartupWait;
	/** Routes in force. */
	readonly table: () => RouteTable | undefined;
	readonly random: Random;
};

/**
 * Decides whether a request goes to a target of this region or a remote region, waits, or is refused.
 *
 * A region's peak may exceed the capacity of its own targets. A request goes where its predicted cost is lowest; to a
 * remote region only if the gain outweighs the traffic, or if no target of this region has room and would start it in
 * time. An entry that can't reach the targets of its region has other entries of the region send it. It waits only while
 * it can still be served in time, also for the end of a pause that a target asked for; otherwise it is refused at once. In a region with placers, an entry forwards each prompt
 * once to the placer chosen for it, unless that is the entry itself.
 */
export class PlacementPolicy {
	readonly #options: PlacementPolicyOptions;

	constructor(options: PlacementPolicyOptions) {
		this.#options = options;
	}

	decide(record: RequestRecord, now: Millis): Placement {
		const leftMs = record.deadlineAt - now - answerMarginMs;
		const targets = this.#eligibleTargets(record, now);
		const placer = this.#placer(record, now);
		if (placer !== undefined && targets.length > 0) {
			return {type: 'away', region: this.#options.region, ...placer};
		}

		const remote = this.#remoteCandidate(record, now);
		const isWithoutTarget = targets.length === 0 && remote === undefined;
		const local = this.#localCandidates(record, isWithoutTarget ? this.#suspectedTargets(record, now) : targets, now);
		const best = local.find(({hasRoom, startMs}) => hasRoom && startMs < leftMs);
		const remoteCostMs = remote === undefined ? Number.POSITIVE_INFINITY : remote.costMs + remoteRegionPenaltyMs;
		if (best !== undefined && best.costMs <= remoteCostMs) {
			return {type: 'target', candidate: best};
		}

		if (remote !== undefined && remote.startMs < leftMs) {
			return {type: 'away', ...remote};
		}

		const soonestMs = Math.min(...local.map(({startMs}) => startMs), remote?.startMs ?? Number.POSITIVE_INFINITY);
		const mayWait = (local.length > 0 && soonestMs < leftMs) || (leftMs > 0 && this.#mayBeListedSoon(record, now));
		// Other regions may have room for a forwarded request.
		const mayWaitForPause = record.req.forwarded === undefined && this.#resumesMs(record, now) < leftMs;
		if (mayWait || mayWaitForPause) {
			return {type: 'wait', forPause: !mayWait};
		}

		return this.#refusal(record, {hasLocal: local.length > 0, soonestMs}, now);
	}

	#refusal(record: RequestRecord, {hasLocal, soonestMs}: {hasLocal: boolean; soonestMs: number}, now: Millis): Placement {
		const {random} = this.#options;
		const pauses = this.#pausedTargets(record, now).map(({suspension}) => suspension.pausedMs(now));
		if (!hasLocal && pauses.length > 0) {
			return {type: 'refuse', reason: 'paused', retryAfterMs: retryAfterPauseMs(Math.min(...pauses), random)};
		}

		return {
			type: 'refuse',
			reason: hasLocal ? 'overloaded' : 'no-target',
			retryAfterMs: callerRetryAfterMs(Number.isFinite(soonestMs) ? soonestMs / 2 : 1000, random),
		};
	}

	/** Predicted time until a target that pauses starts the request, in milliseconds; infinite if none may take it. */
	#resumesMs(record: RequestRecord, now: Millis): number {
		const times = this.#pausedTargets(record, now)
			.filter(target => mayTake(record, target))
			.map(target => target.suspension.pausedMs(now) + target.callMs(now));
		return Math.min(...times);
	}

	/** True if no target is known for a request of a caller, but one may be listed soon, since this entry has just started. */
	#mayBeListedSoon(record: RequestRecord, now: Millis): boolean {
		const {req, service} = record;
		const {pool, startup} = this.#options;
		return req.forwarded === undefined && this.#mayStayHere(record) && startup.expectsTargets(now) && !pool.knows(service);
	}

	/** The placer that a request has to be forwarded to; undefined if this entry places it. */
	#placer({req, service, forwardCount}: RequestRecord, now: Millis): {address: string; startMs: number} | undefined {
		const {regions, relayAddress} = this.#options;
		if (req.prompt === undefined || req.forwarded !== undefined || forwardCount > 0) {
			return undefined;
		}

		const placer = regions.placer({service, prompt: req.prompt}, now);
		return placer?.address === relayAddress ? undefined : placer;
	}

	/** Targets of this region that may get the request. */
	#eligibleTargets(record: RequestRecord, now: Millis): readonly PooledTarget[] {
		return this.#mayStayHere(record) ? this.#options.pool.usable(record.service, now).filter(target => mayTake(record, target)) : [];
	}

	/** Where to forward the request to, if it may be forwarded. */
	#remoteCandidate(record: RequestRecord, now: Millis): ReturnType<RegionSelector['candidates']>[number] | undefined {
		const {regions, region, pool} = this.#options;
		const {req: {forwarded, prompt}, service, origin} = record;
		// A placer may forward requests that entries of its own region forwarded to it, but not those of a remote region.
		if (forwarded !== undefined && forwarded.region !== region) {
			return undefined;
		}

		const withOwn = forwarded === undefined && pool.isCutOff(service, now);
		const [candidate] = regions.candidates({
			service, homes: this.#homesOf(record), prompt, origin, withOwn,
		}, now);
		return candidate;
	}

	/** Targets of this region that have failed other requests, which is no reason to refuse this one. */
	#suspectedTargets(record: RequestRecord, now: Millis): readonly PooledTarget[] {
		return this.#mayStayHere(record) ? this.#options.pool.suspected(record.service, now).filter(target => mayTake(record, target)) : [];
	}

	/** Targets of this region that may get requests of this kind once the pauses that they asked for are over. */
	#pausedTargets(record: RequestRecord, now: Millis): readonly PooledTarget[] {
		return this.#mayStayHere(record) ? this.#options.pool.paused(record.service, now) : [];
	}

	/** True if this region may serve the request. */
	#mayStayHere(record: RequestRecord): boolean {
		return this.#homesOf(record)?.includes(this.#options.region) ?? true;
	}

	#homesOf(record: RequestRecord): readonly Region[] | undefined {
		return homesOf(record, this.#options.table());
	}

	/** Candidates among the targets for a request, the cheapest first. */
	#localCandidates({req, route, service, table, deadlineAt}: RequestRecord, targets: readonly PooledTarget[], now: Millis): readonly PlacementCandidate[] {
		const {relayAddress, pool, regions} = this.#options;
		const {placers} = regions;
		return rankLocalTargets({
			prompt: req.prompt,
			spec: table.service(service),
			targets,
			partition: pool.partition(service, {count: placers.length, index: placers.indexOf(relayAddress)}),
			limitEntries: regions.limitEntries(req.prompt !== undefined),
			objectiveMs: route.objectiveMs - (now - req.arrivedAt),
			leftMs: deadlineAt - now,
		}, now);
	}
}

/** True if the target has neither refused nor failed the request, and may go on with its stream: it must be known to have the software that it is listed with. */
function mayTake({excludedTargets, origin}: RequestRecord, {listed, isConfirmed}: PooledTarget): boolean {
	return !excludedTargets.has(listed.targetId) && (origin === undefined || (isConfirmed && mayContinueAt(origin, listed.softwareVersion)));
}
