import type {ActionQueue} from '../action-queue.ts';
import type {Random} from '../common/random.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {CrashContainment} from './crash-containment.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';
import {destinationOf} from './destination-of.ts';
import {isSuccess} from './is-success.ts';
import {softwareVersionOf} from './software-version-of.ts';
import type {RequestRecord} from './request-record.ts';
import {callerRetryAfterMs} from './caller-retry-after-ms.ts';

/** Retry delay given to callers if nothing is known about the wait for capacity, in milliseconds. */
const defaultRetryAfterMs = 500;

/** Age up to which a refusal counts as immediate, and time left from which on it counts as one at the deadline, in milliseconds. */
const atOnceMs = 50;
const atDeadlineMs = 50;

/** Retry delay for a request that is contained, in milliseconds: a sooner retry is refused as well. */
const containedRetryAfterMs = 60_000;

type RequestCompletionOptions = {readonly random: Random; readonly queue: ActionQueue<EdgeAction>; readonly containment: CrashContainment};

/** Completes requests: emits the final answer or refusal, with its log event and counter. */
export class RequestCompletion {
	readonly #options: RequestCompletionOptions;
	#hasServed = false;

	constructor(options: RequestCompletionOptions) {
		this.#options = options;
	}

	/** Completes a request whose answer was read to its end. */
	complete(record: RequestRecord, attempt: AttemptNumber, now: Millis): void {
		const {req, running, service, route, sends} = record;
		const {queue, containment} = this.#options;
		if (running?.head !== undefined && isSuccess(running.head.status)) {
			containment.recordServed(req, now);
			if (!this.#hasServed) {
				this.#hasServed = true;
				queue.event('first-served', {request: req.callerKey, target: destinationOf(record), tookMs: Math.round(now - req.arrivedAt)});
			}
		}

		queue.push({type: 'complete', requestId: req.requestId, attempt});
		queue.count('answers', route.kind);
		if (running?.head?.unframed === true) {
			queue.count('unframed_answers', route.kind);
		}

		queue.event('answered', {
			request: req.callerKey,
			route: route.name,
			service,
			status: running?.head?.status,
			unframed: running?.head?.unframed,
			target: destinationOf(record),
			softwareVersion: running && softwareVersionOf(running),
			sends,
			tookMs: Math.round(now - req.arrivedAt),
			predictedMs: Math.round(running?.predictedMs ?? 0),
		});
	}

	/** Refuses a request that has no record yet and so was never sent anywhere. */
	refuseEarly(req: EdgeRequest, reason: EdgeRefusal['reason'], version: number | undefined): void {
		const refusal: EdgeRefusal = {
			reason,
			ran: 'no',
			reachedTarget: false,
			retryAfterMs: reason === 'no-route' ? undefined : callerRetryAfterMs(reason === 'leaving' ? 0 : defaultRetryAfterMs, this.#options.random),
		};
		this.#emitRefusal(req, refusal, {path: req.path, version});
	}

	/** Refuses a request that was accepted; the reason and the retry delay depend on whether it may have run, and on whether it had no time for a stop of the entry, for which another entry has time. */
	refuse(record: RequestRecord, reason: EdgeRefusal['reason'], now: Millis): void {
		if (record.cutByStop && reason === 'overloaded') {
			record.retryAfterMs = callerRetryAfterMs(0, this.#options.random);
			this.refuse(record, 'leaving', now);
			return;
		}

		const {queue} = this.#options;
		const {req, route, service, mayHaveRun, sends, headPassed, passedEvents, lastFailure, cutByStop, deadlineAt} = record;
		const retryAfterMs = reason === 'contained' ? containedRetryAfterMs : record.retryAfterMs;
		const refusal: EdgeRefusal = {
			reason: finalReason(reason, mayHaveRun),
			ran: mayHaveRun ? 'maybe' : 'no',
			reachedTarget: sends > 0,
			retryAfterMs: mayHaveRun ? undefined : retryAfterMs ?? callerRetryAfterMs(defaultRetryAfterMs, this.#options.random),
		};
		if (!mayHaveRun) {
			queue.count('admission', refusalAge(now - req.arrivedAt, deadlineAt - now));
		}

		if (headPassed) {
			queue.count('broken_answers', lastFailure ?? refusal.reason);
		}

		this.#emitRefusal(req, refusal, {
			route: route.name, service, sends, passing: headPassed, passedEvents, lastFailure, cutByStop, afterMs: Math.round(now - req.arrivedAt), leftMs: Math.round(deadlineAt - now),
		});
	}

	#emitRefusal({requestId, callerKey}: EdgeRequest, refusal: EdgeRefusal, details: Readonly<Record<string, unknown>>): void {
		const {queue} = this.#options;
		queue.push({type: 'refuse', requestId, refusal});
		queue.count('refusals', refusal.reason);
		queue.event('refused', {request: callerKey, ...refusal, ...details});
	}
}

/** How early a request is refused that has not run. */
function refusalAge(afterMs: number, leftMs: number): string {
	if (leftMs <= atDeadlineMs) {
		return 'refused-at-deadline';
	}

	return afterMs <= atOnceMs ? 'refused-at-once' : 'refused-later';
}

/** A request that may have run is never reported as not run, and one that has not run never as failed. */
function finalReason(reason: EdgeRefusal['reason'], mayHaveRun: boolean): EdgeRefusal['reason'] {
	if (mayHaveRun) {
		return reason === 'timeout' ? reason : 'target-failed';
	}

	return reason === 'target-failed' ? 'overloaded' : reason;
}
