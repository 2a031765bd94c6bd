import type {ActionQueue} from '../action-queue.ts';
import type {Millis} from '../ids/millis.ts';
import type {EdgeAction} from './edge-action.ts';
import type {PlacementPolicy} from './placement-policy.ts';
import type {RegionSelector} from './region-selector.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';
import {mayRetry} from './may-retry.ts';
import type {RequestRecord} from './request-record.ts';
import type {TargetPool} from './target-pool.ts';
import {stallTimeoutMs} from './stall-timeout-ms.ts';

/** Share of the latency objective that must be left before the deadline for a retry after an error status. */
const minRemainingShare = 0.25;

/** Time without progress after which an attempt at a target that is confirmed out of reach counts as stalled, in milliseconds. */
const unreachableTimeoutMs = 400;

type RetryPolicyOptions = {
	readonly placement: PlacementPolicy;
	readonly regions: RegionSelector;
	readonly pool: TargetPool;
	readonly budget: WindowedRetryBudget;
	readonly queue: ActionQueue<EdgeAction>;
};

/**
 * Decides whether a request is retried, within the rules of its route and the retry budget.
 *
 * Targets fail or stall under load, and a retry takes capacity that other requests wait for. It is therefore started
 * only if the route allows it, it can still finish in time and another destination can take it.
 */
export class RetryPolicy {
	readonly #options: RetryPolicyOptions;

	constructor(options: RetryPolicyOptions) {
		this.#options = options;
	}

	/** True if a request without an attempt in progress may be retried; the retry is then charged to the budget, once even if the request has to wait. */
	reserveRetry(record: RequestRecord, now: Millis): boolean {
		if (!mayRetry(record)) {
			return false;
		}

		record.retryReserved ||= this.#withdrawRetry(record, now);
		return record.retryReserved;
	}

	/** True if an answer with an error status may be discarded for a retry. */
	mayRetryAnswer(record: RequestRecord, now: Millis): boolean {
		return mayRetry(asIfFailed(record)) && record.deadlineAt - now > record.route.objectiveMs * minRemainingShare;
	}

	/** True if the attempt in progress has stalled and is to be replaced by a retry, which is then charged to the budget. A stalled attempt goes on while no other destination can take its request. */
	reserveStallRetry(record: RequestRecord, now: Millis): boolean {
		const {running} = record;
		if (running === undefined) {
			return false;
		}

		const failed = asIfFailed(record);
		const target = running.targetId === undefined ? undefined : this.#options.pool.get(running.targetId);
		const isOutOfReach = target?.reachability.isConfirmedOutOfReach(now) === true;
		const limitMs = isOutOfReach
			? unreachableTimeoutMs
			: stallTimeoutMs(record.route, {predictedMs: running.predictedMs, events: running.events, forwarded: running.forwardedTo !== undefined});
		if (!mayRetry(failed) || now - running.lastProgressAt <= limitMs || !this.#hasDestination(failed, now)) {
			return false;
		}

		record.retryReserved = this.#withdrawRetry(record, now);
		return record.retryReserved;
	}

	#hasDestination(failed: RequestRecord, now: Millis): boolean {
		const {type} = this.#options.placement.decide(failed, now);
		return type === 'target' || type === 'away';
	}

	#withdrawRetry(record: RequestRecord, now: Millis): boolean {
		const {budget, regions, queue} = this.#options;
		const {req, service} = record;
		const entries = regions.entryCount(now);
		const {granted, requests, retries, allowed} = budget.withdraw(service, entries, now);
		// A stalled attempt asks again on each tick.
		if (granted || !record.retryRefused) {
			queue.count('retries', granted ? 'charged' : 'budget_exhausted');
			queue.event(granted ? 'retry-charged' : 'retry-refused', {
				request: req.callerKey, service, requests, retries, allowed: Math.round(allowed * 10) / 10, entries,
			});
		}

		record.retryRefused ||= !granted;
		return granted;
	}
}

/** Copy of the record as it would be if the attempt in progress had failed. */
function asIfFailed(record: RequestRecord): RequestRecord {
	const {running, mayHaveRunOn, excludedTargets, forwardedRuns} = record;
	return {
		...record,
		mayHaveRun: true,
		mayHaveRunOn: running?.targetId === undefined ? mayHaveRunOn : new Set([...mayHaveRunOn, running.targetId]),
		excludedTargets: running?.targetId === undefined ? excludedTargets : new Set([...excludedTargets, running.targetId]),
		forwardedRuns: forwardedRuns + (running?.forwardedTo === undefined ? 0 : 1),
	};
}
