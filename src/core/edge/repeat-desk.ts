import type {Millis} from '../ids/millis.ts';
import type {PlacementRule} from './placement-rule.ts';
import type {RegionChoice} from './region-choice.ts';
import type {RepeatBudget} from './repeat-budget.ts';
import {mayRepeat} from './repeat-rule.ts';
import type {RequestRecord} from './request-record.ts';
import {stallMs} from './stall-rule.ts';

/** Part of the latency objective that must be left for another try after a failed answer. */
const leastLeftShare = 0.25;

type RepeatDeskOptions = {
	readonly placement: PlacementRule;
	readonly regions: RegionChoice;
	readonly budget: RepeatBudget;
};

/**
 * Decides whether a request is sent once more, within the route's rules and the budget that all entries share.
 *
 * Answers targets that fail or fall silent under load: a second run costs what others wait for, so it starts only
 * where it is allowed, can still help and another place can take it.
 */
export class RepeatDesk {
	readonly #options: RepeatDeskOptions;

	constructor(options: RepeatDeskOptions) {
		this.#options = options;
	}

	/** Whether a request without an attempt under way may be sent again; its share of the budget is then taken. */
	canRepeat(record: RequestRecord, now: Millis): boolean {
		if (!mayRepeat(record)) {
			return false;
		}

		record.repeatPaid ||= this.#withdraw(record, now);
		return record.repeatPaid;
	}

	/** Whether a failed answer may be thrown away for another try. */
	canReplace(record: RequestRecord, now: Millis): boolean {
		return mayRepeat(failedNow(record)) && record.deadlineAt - now > record.route.objectiveMs * leastLeftShare;
	}

	/** Whether the attempt under way is given up for another place; one that stalls goes on while no other place could take its request. */
	gaveUp(record: RequestRecord, now: Millis): boolean {
		const {running} = record;
		if (running === undefined) {
			return false;
		}

		const failed = failedNow(record);
		const limitMs = stallMs(record.route, {predictedMs: running.predictedMs, events: running.events, away: running.away !== undefined});
		if (!mayRepeat(failed) || now - running.progressAt <= limitMs || !this.#hasPlace(failed, now)) {
			return false;
		}

		record.repeatPaid = this.#withdraw(record, now);
		return record.repeatPaid;
	}

	#hasPlace(failed: RequestRecord, now: Millis): boolean {
		const {type} = this.#options.placement.decide(failed, now);
		return type === 'target' || type === 'away';
	}

	#withdraw({service}: RequestRecord, now: Millis): boolean {
		const {budget, regions} = this.#options;
		return budget.withdraw(service, regions.entries, now);
	}
}

/** The record as it would be if the attempt that is under way had failed. */
function failedNow(record: RequestRecord): RequestRecord {
	const {running, ranOn, tried, awayRuns} = record;
	return {
		...record,
		mayHaveRun: true,
		ranOn: running?.targetId === undefined ? ranOn : new Set([...ranOn, running.targetId]),
		tried: running?.targetId === undefined ? tried : new Set([...tried, running.targetId]),
		awayRuns: awayRuns + (running?.away === undefined ? 0 : 1),
	};
}
