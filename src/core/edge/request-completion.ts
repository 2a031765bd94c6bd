import type {ActionQueue} from '../action-queue.ts';
import type {Random} from '../common/random.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';
import {destinationOf} from './destination-of.ts';
import type {RequestRecord} from './request-record.ts';
import {retryAfter} from './retry-after.ts';

/** When a caller comes back where nothing tells how long a place will take, in milliseconds. */
const defaultRetryAfterMs = 500;

type RequestCompletionOptions = {readonly random: Random; readonly queue: ActionQueue<EdgeAction>};

/** The ends of requests: what their callers get, and what is logged and counted of it. */
export class RequestCompletion {
	readonly #options: RequestCompletionOptions;

	constructor(options: RequestCompletionOptions) {
		this.#options = options;
	}

	/** A target's answer was read to its end. */
	complete(record: RequestRecord, attempt: AttemptNumber, now: Millis): void {
		const {req, running, service, route, sends} = record;
		const {queue} = this.#options;
		queue.push({type: 'complete', requestId: req.requestId, attempt});
		queue.count('answers', route.kind);
		queue.event('answered', {
			request: req.callerKey,
			route: route.name,
			service,
			status: running?.head?.status,
			target: destinationOf(record),
			sends,
			tookMs: Math.round(now - req.arrivedAt),
			predictedMs: Math.round(running?.predictedMs ?? 0),
		});
	}

	/** Refuses a request before it has a record: it was never sent anywhere. */
	refuseEarly(req: EdgeRequest, reason: EdgeRefusal['reason'], version: number | undefined): void {
		const refusal: EdgeRefusal = {
			reason,
			ran: 'no',
			retryAfterMs: reason === 'no-route' ? undefined : retryAfter(reason === 'leaving' ? 0 : defaultRetryAfterMs, this.#options.random),
		};
		this.#emitRefusal(req, refusal, {path: req.path, version});
	}

	/** Ends a request that gets no target's answer; whether it may have run decides what it is told. */
	refuse(record: RequestRecord, reason: EdgeRefusal['reason'], now: Millis): void {
		const {req, route, service, mayHaveRun, sends, headPassed: passing, retryAfterMs, deadlineAt} = record;
		const refusal: EdgeRefusal = {
			reason: finalReason(reason, mayHaveRun),
			ran: mayHaveRun ? 'maybe' : 'no',
			retryAfterMs: mayHaveRun ? undefined : retryAfterMs ?? retryAfter(defaultRetryAfterMs, this.#options.random),
		};
		this.#emitRefusal(req, refusal, {
			route: route.name, service, sends, passing, afterMs: Math.round(now - req.arrivedAt), leftMs: Math.round(deadlineAt - now),
		});
	}

	#emitRefusal({requestId, callerKey}: EdgeRequest, refusal: EdgeRefusal, facts: Readonly<Record<string, unknown>>): void {
		const {queue} = this.#options;
		queue.push({type: 'refuse', requestId, refusal});
		queue.count('refusals', refusal.reason);
		queue.event('refused', {request: callerKey, ...refusal, ...facts});
	}
}

/** What may have run is never refused as not run, and what has not run never as failed. */
function finalReason(reason: EdgeRefusal['reason'], mayHaveRun: boolean): EdgeRefusal['reason'] {
	if (mayHaveRun) {
		return reason === 'timeout' ? reason : 'target-failed';
	}

	return reason === 'target-failed' ? 'overloaded' : reason;
}
