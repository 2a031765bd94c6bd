import type {Millis} from '../ids/millis.ts';
import type {PlacementPolicy} from './placement-policy.ts';
import type {RegionSelector} from './region-selector.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';
import {mayRetry} from './may-retry.ts';
import type {RequestRecord} from './request-record.ts';
import {stallTimeoutMs} from './stall-timeout-ms.ts';

/** Part of the latency objective that must be left for another try after a failed answer. */
const minRemainingShare = 0.25;

type RetryPolicyOptions = {
	readonly placement: PlacementPolicy;
	readonly regions: RegionSelector;
	readonly budget: WindowedRetryBudget;
};

/**
 * Decides whether a request is sent once more, within the route's rules and the budget that all entries share.
 *
 * Answers targets that fail or fall silent under load: a second run costs what others wait for, so it starts only
 * where it is allowed, can still help and another place can take it.
 */
export class RetryPolicy {
	readonly #options: RetryPolicyOptions;

	constructor(options: RetryPolicyOptions) {
		this.#options = options;
	}

	/** Whether a request without an attempt under way may be sent again; its share of the budget is then taken. */
	reserveRetry(record: RequestRecord, now: Millis): boolean {
		if (!mayRetry(record)) {
			return false;
		}

		record.retryReserved ||= this.#withdrawRetry(record, now);
		return record.retryReserved;
	}

	/** Whether a failed answer may be thrown away for another try. */
	mayRetryAnswer(record: RequestRecord, now: Millis): boolean {
		return mayRetry(asIfFailed(record)) && record.deadlineAt - now > record.route.objectiveMs * minRemainingShare;
	}

	/** Whether the attempt under way is given up for another place; one that stalls goes on while no other place could take its request. */
	reserveStallRetry(record: RequestRecord, now: Millis): boolean {
		const {running} = record;
		if (running === undefined) {
			return false;
		}

		const failed = asIfFailed(record);
		const limitMs = stallTimeoutMs(record.route, {predictedMs: running.predictedMs, events: running.events, away: running.forwardedTo !== undefined});
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

	#withdrawRetry({service}: RequestRecord, now: Millis): boolean {
		const {budget, regions} = this.#options;
		return budget.withdraw(service, regions.entryCount, now);
	}
}

/** The record as it would be if the attempt that is under way had failed. */
function asIfFailed(record: RequestRecord): RequestRecord {
	const {running, mayHaveRunOn: ranOn, excludedTargets: tried, forwardedRuns: awayRuns} = record;
	return {
		...record,
		mayHaveRun: true,
		mayHaveRunOn: running?.targetId === undefined ? ranOn : new Set([...ranOn, running.targetId]),
		excludedTargets: running?.targetId === undefined ? tried : new Set([...tried, running.targetId]),
		forwardedRuns: awayRuns + (running?.forwardedTo === undefined ? 0 : 1),
	};
}
