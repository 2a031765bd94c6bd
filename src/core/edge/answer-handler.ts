import type {ActionQueue} from '../action-queue.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {AnswerHead} from './answer-head.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptTracker} from './attempt-tracker.ts';
import {destinationOf} from './destination-of.ts';
import type {EdgeAction} from './edge-action.ts';
import {isIdempotent} from './is-idempotent.ts';
import {isPromise} from './is-promise.ts';
import {isSuccess} from './is-success.ts';
import type {RequestCompletion} from './request-completion.ts';
import type {RequestPlacer} from './request-placer.ts';
import type {RequestRecord} from './request-record.ts';
import type {RetryPolicy} from './retry-policy.ts';
import {softwareVersionOf} from './software-version-of.ts';
import type {StreamOrigins} from './stream-origins.ts';
import type {TargetFeedback} from './target-feedback.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';

type AnswerHandlerOptions = {
	readonly attempts: AttemptTracker;
	readonly feedback: TargetFeedback;
	readonly retryPolicy: RetryPolicy;
	readonly placer: RequestPlacer;
	readonly completion: RequestCompletion;
	readonly origins: StreamOrigins;
	readonly budget: WindowedRetryBudget;
	readonly queue: ActionQueue<EdgeAction>;
	/** Called when a target may have capacity for another request. */
	readonly onCapacity: () => void;
	/** Called once a request is complete. */
	readonly onComplete: (record: RequestRecord) => void;
};

/** Handles what targets and other entries answer to the attempts of requests: passes it on, or has the request placed again. */
export class AnswerHandler {
	readonly #options: AnswerHandlerOptions;

	constructor(options: AnswerHandlerOptions) {
		this.#options = options;
	}

	/** Handles the sign that the target of a forwarded attempt works, which comes before the head of a call's answer. */
	handleWorking(attempt: AttemptNumber, now: Millis): void {
		const record = this.#options.attempts.select(attempt);
		if (record !== undefined) {
			this.#options.attempts.recordWorking(record, now);
		}
	}

	handleHead(attempt: AttemptNumber, head: AnswerHead, now: Millis): void {
		const record = this.#options.attempts.select(attempt);
		const running = record?.running;
		if (record === undefined || running === undefined) {
			return;
		}

		running.head = head;
		this.#options.attempts.recordProgress(record, now);
		this.#options.feedback.recordHead(record, head, now);
		if (this.#options.feedback.isNotRun(head)) {
			this.#handleNotRun(record, head, now);
			return;
		}

		if (!isSuccess(head.status)) {
			this.#handleErrorStatus(record, head, now);
			return;
		}

		if (!head.signed) {
			this.#options.queue.push({type: 'cancel', attempt});
			this.#handleAttemptFailure(record, 'unsigned answer', now);
			return;
		}

		if (record.headPassed && !(head.status === 200 && head.eventStream)) {
			// Its body is not the rest of the stream, and its end must not end the stream as complete.
			this.#options.queue.push({type: 'cancel', attempt});
			this.#handleAttemptFailure(record, 'no stream', now);
			return;
		}

		this.#options.attempts.recordWorking(record, now);
		// One that was forwarded counts towards the retry budget only now, since the other entry may refuse it before a target gets it.
		this.#options.budget.countRequest(record, now);
		if (record.route.kind === 'stream' && head.eventStream) {
			if (!record.headPassed) {
				this.#options.attempts.cancelKept(record, now);
			}

			record.headPassed = true;
			this.#options.queue.push({
				type: 'pass', requestId: record.req.requestId, attempt, softwareVersion: softwareVersionOf(running),
			});
			return;
		}

		this.#options.feedback.recordCall(record, now);
	}

	handleEvents(attempt: AttemptNumber, {count, lastId}: {count: number; lastId?: string}, now: Millis): void {
		const record = this.#options.attempts.select(attempt);
		const running = record?.running;
		if (record === undefined || running === undefined) {
			return;
		}

		this.#options.feedback.recordEvents(record, count, now);
		// The first event shows that the prefill has ended, which shortens the predicted start of waiting requests.
		if (running.events === 0) {
			this.#options.onCapacity();
		}

		if (count > 0) {
			this.#options.attempts.cancelKept(record, now);
			this.#options.origins.recordFirstEvent(record, now);
		}

		running.events += count;
		record.passedEvents += count;
		this.#options.attempts.recordProgress(record, now);
		record.lastEventId = lastId ?? record.lastEventId;
	}

	handleHeld(attempt: AttemptNumber, held: boolean, now: Millis): void {
		this.#options.attempts.recordHeld(attempt, held, now);
	}

	/** Completes a request, unless its answer was broken off: by its bytes, or, if its connection alone ended it, before the first event. */
	handleEnd(attempt: AttemptNumber, {truncated}: {truncated: boolean}, now: Millis): void {
		const record = this.#options.attempts.select(attempt);
		if (record === undefined) {
			return;
		}

		const {running, headPassed} = record;
		const isEmpty = headPassed && running?.head?.unframed === true && running.events === 0;
		if (truncated || isEmpty) {
			this.handleFailure(attempt, {reason: 'truncated', notSent: false}, now);
			return;
		}

		this.#options.attempts.cancelKept(record, now);
		this.#options.feedback.recordEnd(record);
		this.#options.completion.complete(record, attempt, now);
		this.#release(record);
		this.#options.onComplete(record);
	}

	handleFailure(attempt: AttemptNumber, failure: AttemptFailure, now: Millis): void {
		const record = this.#options.attempts.select(attempt);
		if (record?.running === undefined) {
			return;
		}

		this.#options.feedback.recordFailure(record, failure, now);
		if (failure.notSent) {
			this.#options.queue.event('attempt-not-sent', {request: record.req.callerKey, target: destinationOf(record), reason: failure.reason});
			this.#options.attempts.recordUnsent(record);
			record.resendReason = failure.reason;
			this.#placeUnlessKept(record, now);
			return;
		}

		this.#handleAttemptFailure(record, failure.reason, now);
	}

	/** Handles a status other than 2xx: discards the answer if the caller already has the head of an earlier one, if the status is 5xx and the request may be retried or another attempt is in progress, or if the status would promise falsely that a request that must not run twice has not run. Otherwise the answer is read on and passed to the caller. */
	#handleErrorStatus(record: RequestRecord, {status}: AnswerHead, now: Millis): void {
		const mayAnswerElsewhere = record.kept.length > 0 || this.#options.retryPolicy.mayRetryAnswer(record, now);
		if (record.headPassed || (status >= 500 && mayAnswerElsewhere) || (isPromise(status) && !isIdempotent(record.route))) {
			this.#options.queue.push({type: 'cancel', attempt: record.running!.attempt});
			this.#handleAttemptFailure(record, `status ${status}`, now);
		}
	}

	/** Places a request again whose target or entry guarantees that it has not run. */
	#handleNotRun(record: RequestRecord, head: AnswerHead, now: Millis): void {
		const {running} = record;
		this.#options.queue.event('attempt-not-run', {
			request: record.req.callerKey,
			target: destinationOf(record),
			attempt: running?.attempt,
			status: head.status,
			retryAfterMs: head.retryAfterMs,
			leaving: head.leaving,
			afterMs: Math.round(now - (running?.sentAt ?? now)),
			...head.use,
		});
		this.#options.feedback.recordNotRun(record, head, now);
		record.resendReason = 'not-run';
		if (running?.targetId === undefined) {
			this.#options.attempts.recordRefusedForward(record, head, now);
			record.retryAfterMs = head.retryAfterMs ?? record.retryAfterMs;
		} else {
			// The pause that the target asks for is one of many that the placement weighs, if this request has to come back.
			record.excludedTargets.add(running.targetId);
		}

		this.#placeUnlessKept(record, now);
	}

	/** Handles an attempt that may have run but gave no usable answer: retries the request if that is allowed, else refuses it. */
	#handleAttemptFailure(record: RequestRecord, reason: string, now: Millis): void {
		this.#options.attempts.recordFailed(record, reason, now);
		this.#placeUnlessKept(record, now);
	}

	/** Ends the current attempt without an answer. The request goes on with an attempt that was kept, or is placed again. */
	#placeUnlessKept(record: RequestRecord, now: Millis): void {
		this.#release(record);
		if (record.running === undefined) {
			this.#options.placer.place(record, now);
		}
	}

	#release(record: RequestRecord): void {
		if (record.running !== undefined) {
			this.#options.attempts.release(record);
			this.#options.onCapacity();
		}
	}
}
