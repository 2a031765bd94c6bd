import type {ActionQueue} from '../action-queue.ts';
import type {Random} from '../common/random.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {AnswerHead} from './answer-head.ts';
import {AttemptDesk} from './attempt-desk.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';
import {FinalAnswers} from './final-answers.ts';
import {IdleRule} from './idle-rule.ts';
import {placeOf} from './place-of.ts';
import type {PlacementRule} from './placement-rule.ts';
import type {RegionChoice} from './region-choice.ts';
import type {RepeatBudget} from './repeat-budget.ts';
import {RepeatDesk} from './repeat-desk.ts';
import type {RequestRecord} from './request-record.ts';
import {TargetFeedback} from './target-feedback.ts';
import type {TargetPool} from './target-pool.ts';
import type {WaitQueue} from './wait-queue.ts';

/** Waiting requests that are looked at in one step for each service. */
const placementsPerStep = 16;

type RequestDeskOptions = {
	readonly placement: PlacementRule;
	readonly table: () => RouteTable | undefined;
	readonly pool: TargetPool;
	readonly regions: RegionChoice;
	readonly waiting: WaitQueue;
	readonly budget: RepeatBudget;
	readonly random: Random;
	readonly queue: ActionQueue<EdgeAction>;
};

/** Requests at one entry from their arrival to their final answer. */
export class RequestDesk {
	readonly #options: RequestDeskOptions;
	readonly #records = new Map<RequestId, RequestRecord>();
	readonly #attempts: AttemptDesk;
	readonly #ends: FinalAnswers;
	readonly #repeats: RepeatDesk;
	readonly #feedback: TargetFeedback;
	#shut = false;
	#placeable = false;

	constructor(options: RequestDeskOptions) {
		this.#options = options;
		const idle = new IdleRule();
		this.#attempts = new AttemptDesk({...options, idle});
		this.#ends = new FinalAnswers(options);
		this.#repeats = new RepeatDesk(options);
		this.#feedback = new TargetFeedback({...options, idle});
	}

	get inFlight(): number {
		return this.#records.size;
	}

	/** True once new requests are refused. */
	get closed(): boolean {
		return this.#shut;
	}

	/** Refuses new requests from now on. */
	shut(): void {
		this.#shut = true;
	}

	request(req: EdgeRequest, now: Millis): void {
		const table = this.#options.table();
		const early = this.#refusedEarly(req, table);
		if (early !== undefined) {
			this.#ends.refusedEarly(req, early, table?.version);
			return;
		}

		const route = table!.match(req.host, req.path)!;
		const service = table!.pickService(route, req.callerKey);
		const limitMs = Math.min(req.budgetMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
		const record: RequestRecord = {
			req,
			route,
			service,
			table: table!,
			deadlineAt: req.arrivedAt + limitMs as Millis,
			ranOn: new Set(),
			tried: new Set(),
			sends: 0,
			awaySends: 0,
			awayRuns: 0,
			mayHaveRun: false,
			repeatPaid: false,
			passing: false,
			lastEventId: req.resumeAfter,
		};
		this.#records.set(req.requestId, record);
		this.#place(record, now);
	}

	callerGone(requestId: RequestId, now: Millis): void {
		const record = this.#records.get(requestId);
		if (record === undefined) {
			return;
		}

		const {running} = record;
		if (running !== undefined) {
			this.#options.queue.push({type: 'cancel', attempt: running.attempt});
		}

		this.#options.queue.event('caller-gone', {request: record.req.callerKey, afterMs: Math.round(now - record.req.arrivedAt), target: placeOf(record)});
		this.#stopAttempt(record);
		this.#forget(record);
	}

	head(attempt: AttemptNumber, head: AnswerHead, now: Millis): void {
		const record = this.#attempts.recordOf(attempt);
		const running = record?.running;
		if (record === undefined || running === undefined) {
			return;
		}

		running.head = head;
		running.progressAt = now;
		this.#feedback.head(record, head, now);
		if (this.#feedback.isNotRun(head)) {
			this.#notRun(record, head, now);
			return;
		}

		const good = head.status >= 200 && head.status < 300;
		if (!good) {
			this.#badHead(record, head, now);
			return;
		}

		if (!head.signed) {
			this.#options.queue.push({type: 'cancel', attempt});
			this.#attemptFailed(record, 'unsigned answer', now);
			return;
		}

		if (running.away !== undefined && record.sends === 1) {
			this.#options.budget.request(record.service, now);
		}

		if (record.route.kind === 'stream') {
			record.passing = true;
			this.#options.queue.push({type: 'pass', requestId: record.req.requestId, attempt});
			return;
		}

		this.#feedback.called(record, now);
	}

	events(attempt: AttemptNumber, {count, lastId}: {count: number; lastId?: string}, now: Millis): void {
		const record = this.#attempts.recordOf(attempt);
		const running = record?.running;
		if (record === undefined || running === undefined) {
			return;
		}

		this.#feedback.events(record, count, now);
		this.#placeable ||= running.events === 0;
		running.events += count;
		running.progressAt = now;
		record.lastEventId = lastId ?? record.lastEventId;
	}

	ended(attempt: AttemptNumber, now: Millis): void {
		const record = this.#attempts.recordOf(attempt);
		if (record === undefined) {
			return;
		}

		this.#ends.answered(record, attempt, now);
		this.#stopAttempt(record);
		this.#forget(record);
	}

	failed(attempt: AttemptNumber, failure: AttemptFailure, now: Millis): void {
		const record = this.#attempts.recordOf(attempt);
		if (record?.running === undefined) {
			return;
		}

		this.#feedback.failed(record, failure, now);
		if (failure.notSent) {
			this.#options.queue.event('attempt-not-sent', {request: record.req.callerKey, target: placeOf(record), reason: failure.reason});
			record.sends -= 1;
			this.#stopAttempt(record);
			this.#place(record, now);
			return;
		}

		this.#attemptFailed(record, failure.reason, now);
	}

	tick(now: Millis): void {
		for (const record of this.#records.values()) {
			if (now >= record.deadlineAt) {
				this.#expire(record, now);
			} else {
				this.#checkStall(record, now);
			}
		}

		this.#placeable = true;
	}

	/** Places what waits, if something has changed since the last time. */
	settle(now: Millis): void {
		if (!this.#placeable) {
			return;
		}

		this.#placeable = false;
		const {waiting} = this.#options;
		for (const service of waiting.services()) {
			this.#placeWaiting(waiting.list(service).slice(0, placementsPerStep), now);
		}
	}

	/** Places waiting requests in their order up to the first that must go on waiting; those behind it that are hopeless are refused at once. */
	#placeWaiting(records: readonly RequestRecord[], now: Millis): void {
		const {waiting, placement} = this.#options;
		let blocked = false;
		for (const record of records) {
			if (blocked && placement.decide(record, now).type !== 'refuse') {
				continue;
			}

			waiting.remove(record);
			this.#place(record, now);
			blocked ||= waiting.has(record);
		}
	}

	/** Why a request cannot be handled at all; undefined if it can. */
	#refusedEarly(req: EdgeRequest, table: RouteTable | undefined): EdgeRefusal['reason'] | undefined {
		if (table === undefined) {
			return 'not-configured';
		}

		if (this.#shut) {
			return 'leaving';
		}

		if (req.forwarded !== undefined && req.forwarded.documentVersion > table.version) {
			return 'outdated';
		}

		return table.match(req.host, req.path) === undefined ? 'no-route' : undefined;
	}

	/** Sends a request to the best place, lets it wait, or refuses it. */
	#place(record: RequestRecord, now: Millis): void {
		const {placement, waiting} = this.#options;
		if (record.sends > 0 && !this.#repeats.canRepeat(record, now)) {
			this.#giveUp(record, 'target-failed', now);
			return;
		}

		const decision = placement.decide(record, now);
		switch (decision.type) {
			case 'target': {
				this.#attempts.send(record, decision.candidate, now);
				break;
			}

			case 'away': {
				this.#attempts.sendAway(record, decision, now);
				break;
			}

			case 'wait': {
				waiting.add(record);
				break;
			}

			case 'refuse': {
				record.retryAfterMs = Math.min(record.retryAfterMs ?? Number.POSITIVE_INFINITY, decision.retryAfterMs);
				this.#giveUp(record, decision.reason, now);
			}
		}
	}

	/** A target's failure is the caller's answer, unless another target may still do better. */
	#badHead(record: RequestRecord, {status}: AnswerHead, now: Millis): void {
		if (record.passing || (status >= 500 && this.#repeats.canReplace(record, now))) {
			this.#options.queue.push({type: 'cancel', attempt: record.running!.attempt});
			this.#attemptFailed(record, `status ${status}`, now);
		}
	}

	/** The target or the other entry vouches that the request has not run. */
	#notRun(record: RequestRecord, head: AnswerHead, now: Millis): void {
		const {running} = record;
		this.#options.queue.event('attempt-not-run', {request: record.req.callerKey, target: placeOf(record), status: head.status});
		this.#feedback.notRun(record, head, now);
		if (running?.targetId === undefined) {
			record.sends -= 1;
		} else {
			record.tried.add(running.targetId);
		}

		record.retryAfterMs = head.retryAfterMs ?? record.retryAfterMs;
		this.#stopAttempt(record);
		this.#place(record, now);
	}

	/** An attempt that may have run gave no answer: another one if that is allowed, else an honest end. */
	#attemptFailed(record: RequestRecord, reason: string, now: Millis): void {
		const {running, req} = record;
		if (running?.targetId === undefined) {
			record.awayRuns += 1;
		} else {
			record.ranOn.add(running.targetId);
			record.tried.add(running.targetId);
		}

		record.mayHaveRun = true;
		this.#options.queue.count('attempt_failures', reason);
		this.#options.queue.event('attempt-failed', {
			request: req.callerKey, target: placeOf(record), reason, events: running?.events, afterMs: Math.round(now - (running?.sentAt ?? now)),
		});
		this.#stopAttempt(record);
		this.#place(record, now);
	}

	#checkStall(record: RequestRecord, now: Millis): void {
		if (!this.#repeats.gaveUp(record, now)) {
			return;
		}

		this.#options.queue.push({type: 'cancel', attempt: record.running!.attempt});
		this.#feedback.stalled(record, now);
		this.#attemptFailed(record, 'stalled', now);
	}

	#expire(record: RequestRecord, now: Millis): void {
		const {running} = record;
		if (running !== undefined) {
			this.#options.queue.push({type: 'cancel', attempt: running.attempt});
			record.mayHaveRun = true;
			this.#stopAttempt(record);
		}

		this.#giveUp(record, record.mayHaveRun ? 'timeout' : 'overloaded', now);
	}

	#giveUp(record: RequestRecord, reason: EdgeRefusal['reason'], now: Millis): void {
		this.#ends.refused(record, reason, now);
		this.#forget(record);
	}

	#stopAttempt(record: RequestRecord): void {
		if (record.running !== undefined) {
			this.#attempts.stop(record);
			this.#placeable = true;
		}
	}

	#forget(record: RequestRecord): void {
		this.#options.waiting.remove(record);
		this.#records.delete(record.req.requestId);
	}
}
