import type {Millis} from '../ids/millis.ts';
import type {AnswerHead} from './answer-head.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {IdleRule} from './idle-rule.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {RegionChoice} from './region-choice.ts';
import type {RequestRecord} from './request-record.ts';
import type {TargetPool} from './target-pool.ts';

/** Status of an answer that its target did not vouch for, or that another target gave. */
const misdirected = 421;

type TargetFeedbackOptions = {
	readonly pool: TargetPool;
	readonly regions: RegionChoice;
	readonly idle: IdleRule;
};

/** What the course of an attempt teaches of the target or entry that has it, for the placing of later requests. */
export class TargetFeedback {
	readonly #options: TargetFeedbackOptions;

	constructor(options: TargetFeedbackOptions) {
		this.#options = options;
	}

	/** An answer begins; its head may tell the target's load. */
	head(record: RequestRecord, {load}: AnswerHead, now: Millis): void {
		if (load !== undefined) {
			this.#targetOf(record)?.reported(load, now);
		}
	}

	/** A call of a plain service was answered. */
	called(record: RequestRecord, now: Millis): void {
		const {attempt, sentAt} = record.running!;
		const target = this.#targetOf(record);
		target?.started(attempt, now);
		target?.callMs.add(now - sentAt);
	}

	/** Events of a stream came; those before them are counted already. */
	events(record: RequestRecord, count: number, now: Millis): void {
		const {running, table, service} = record;
		const target = this.#targetOf(record);
		if (running!.events === 0) {
			target?.started(running!.attempt, now);
		} else {
			target?.progressed(running!.attempt, {events: count, tokens: count * (table.service(service)?.engine?.tokensPerEvent ?? 1)}, now);
		}
	}

	/** The target or entry vouches that it has not run the request. */
	notRun(record: RequestRecord, {status}: AnswerHead, now: Millis): void {
		const target = this.#targetOf(record);
		if (status === misdirected) {
			target?.suspend(now);
		} else {
			target?.full(now);
		}

		this.#avoidEntry(record, now);
	}

	/** The attempt's connection broke, or its answer was not the request's. */
	failed(record: RequestRecord, {reason}: AttemptFailure, now: Millis): void {
		const target = this.#targetOf(record);
		if (reason !== 'foreign-answer') {
			target?.suspend(now);
		}

		if (reason === 'reset' && record.running?.targetId !== undefined && record.running.head === undefined) {
			this.#options.idle.wasReset(record.service, now);
		}

		this.#avoidEntry(record, now);
	}

	/** The attempt has been silent for too long. */
	stalled(record: RequestRecord, now: Millis): void {
		this.#targetOf(record)?.suspend(now);
		this.#avoidEntry(record, now);
	}

	/** True if a head tells that the request has not run. */
	isNotRun({notRun, status}: AnswerHead): boolean {
		return notRun || status === misdirected;
	}

	#targetOf({running}: RequestRecord): PooledTarget | undefined {
		return running?.targetId === undefined ? undefined : this.#options.pool.get(running.targetId);
	}

	#avoidEntry({running, service}: RequestRecord, now: Millis): void {
		if (running?.away !== undefined) {
			this.#options.regions.refused(running.away.address, service, now);
		}
	}
}
