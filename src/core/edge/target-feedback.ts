import type {Millis} from '../ids/millis.ts';
import type {AnswerHead} from './answer-head.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {IdleConnectionPolicy} from './idle-connection-policy.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {RegionSelector} from './region-selector.ts';
import type {RequestRecord} from './request-record.ts';
import type {TargetPool} from './target-pool.ts';

/** Status of an answer that its target did not vouch for, or that another target gave. */
const misdirectedStatus = 421;

type TargetFeedbackOptions = {
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly idle: IdleConnectionPolicy;
};

/** What the course of an attempt teaches of the target or entry that has it, for the placing of later requests. */
export class TargetFeedback {
	readonly #options: TargetFeedbackOptions;

	constructor(options: TargetFeedbackOptions) {
		this.#options = options;
	}

	/** An answer begins; its head may tell the target's load. */
	recordHead(record: RequestRecord, {load}: AnswerHead, now: Millis): void {
		if (load !== undefined) {
			this.#targetOf(record)?.updateLoad(load, now);
		}
	}

	/** A call of a plain service was answered. */
	recordCall(record: RequestRecord, now: Millis): void {
		const {attempt, sentAt} = record.running!;
		const target = this.#targetOf(record);
		target?.recordStart(attempt, now);
		target?.callMs.add(now - sentAt);
	}

	/** Events of a stream came; those before them are counted already. */
	recordEvents(record: RequestRecord, count: number, now: Millis): void {
		const {running, table, service} = record;
		const target = this.#targetOf(record);
		if (running!.events === 0) {
			target?.recordStart(running!.attempt, now);
		} else {
			target?.recordProgress(running!.attempt, {events: count, tokens: count * (table.service(service)?.engine?.tokensPerEvent ?? 1)}, now);
		}
	}

	/** The target or entry vouches that it has not run the request. */
	recordNotRun(record: RequestRecord, {status}: AnswerHead, now: Millis): void {
		const target = this.#targetOf(record);
		if (status === misdirectedStatus) {
			target?.suspend(now);
		} else {
			target?.markFull(now);
		}

		this.#avoidEntry(record, now);
	}

	/** The attempt's connection broke, or its answer was not the request's. */
	recordFailure(record: RequestRecord, {reason}: AttemptFailure, now: Millis): void {
		const target = this.#targetOf(record);
		if (reason !== 'foreign-answer') {
			target?.suspend(now);
		}

		if (reason === 'reset' && record.running?.targetId !== undefined && record.running.head === undefined) {
			this.#options.idle.recordReset(record.service, now);
		}

		this.#avoidEntry(record, now);
	}

	/** The attempt has been silent for too long. */
	recordStall(record: RequestRecord, now: Millis): void {
		this.#targetOf(record)?.suspend(now);
		this.#avoidEntry(record, now);
	}

	/** True if a head tells that the request has not run. */
	isNotRun({notRun, status}: AnswerHead): boolean {
		return notRun || status === misdirectedStatus;
	}

	#targetOf({running}: RequestRecord): PooledTarget | undefined {
		return running?.targetId === undefined ? undefined : this.#options.pool.get(running.targetId);
	}

	#avoidEntry({running, service}: RequestRecord, now: Millis): void {
		if (running?.forwardedTo !== undefined) {
			this.#options.regions.avoidEntry(running.forwardedTo.address, service, now);
		}
	}
}
