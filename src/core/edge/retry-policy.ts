import type {ActionQueue} from '../action-queue.ts';
import type {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {EdgeAction} from './edge-action.ts';
import {asIfFailed} from './as-if-failed.ts';
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

type RunningAttempt = NonNullable<RequestRecord['running']>;

type RetryPolicyOptions = {
	readonly regions: RegionSelector;
	readonly pool: TargetPool;
	readonly budget: WindowedRetryBudget;
	readonly clock: AwakeClock;
	readonly queue: ActionQueue<EdgeAction>;
};

/**
 * Decides whether a request is retried, within the rules of its route and the retry budget.
 *
 * Load pattern: targets fail or stall under load, and a retry takes capacity that other requests wait for. It is
 * therefore started only if the route allows it, it can still finish in time and another destination can take it.
 * Targets that pause mostly go on, while others are full at the same time: a stalled attempt goes on beside the retry.
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

	/** True if all attempts in progress have been silent for too long and the request may be sent to a further destination. */
	isStalled(record: RequestRecord, now: Millis): boolean {
		const {running, kept} = record;
		return running !== undefined
			&& mayRetry(asIfFailed(record))
			&& [running, ...kept].every(attempt => this.#isSilent(record, attempt, now));
	}

	#isSilent({route}: RequestRecord, {targetId, forwardedTo, predictedMs, events, lastProgressAwakeAt, isHeld}: RunningAttempt, now: Millis): boolean {
		const target = targetId === undefined ? undefined : this.#options.pool.get(targetId);
		const limitMs = target?.reachability.isConfirmedOutOfReach(now) === true
			? unreachableTimeoutMs
			: stallTimeoutMs(route, {predictedMs, events, forwarded: forwardedTo !== undefined});
		return isHeld !== true && this.#options.clock.now - lastProgressAwakeAt > limitMs;
	}

	#withdrawRetry(record: RequestRecord, now: Millis): boolean {
		const {budget, regions, queue} = this.#options;
		const {req, service} = record;
		const entries = regions.entryCount(now);
		const {granted, requests, retries, allowed} = budget.withdraw(service, entries, now);
		// A stalled request asks again on each tick.
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
