import type {ActionQueue} from '../action-queue.ts';
import {overlapLimitMs} from '../common/overlap-limit-ms.ts';
import type {Millis} from '../ids/millis.ts';
import type {CancelReason} from './cancel-reason.ts';
import type {EdgeAction} from './edge-action.ts';
import {overlapHops} from './overlap-hops.ts';
import {overlapStart} from './overlap-start.ts';
import type {RequestRecord} from './request-record.ts';

/** Time after which an overlap beyond its limit is counted as long, in milliseconds: two ticks, in which it has to be ended. */
const lateMs = 100;

type RunningAttempt = NonNullable<RequestRecord['running']>;

/** Logs how the attempts of a request begin and are cancelled, so that it can be read for how long two targets had it at once. Nothing is logged of a request with a single one; attempts that have not run have lines of their own, and are many under overload. */
export class AttemptLog {
	readonly #queue: ActionQueue<EdgeAction>;

	constructor(queue: ActionQueue<EdgeAction>) {
		this.#queue = queue;
	}

	/** Logs the start of a request's current attempt; that of the first one together with the second. */
	started(record: RequestRecord, now: Millis): void {
		const {running, kept, mayHaveRun, first, resends, resendReason} = record;
		if (first === undefined || (!mayHaveRun && kept.length === 0)) {
			record.first = {attempt: running!, reason: resendReason ?? 'first'};
			return;
		}

		record.resends += 1;
		if (resends === 0) {
			this.#logStart(record, first.attempt, {reason: first.reason}, now);
		}

		this.#logStart(record, running!, {reason: resendReason, beside: kept.map(attempt => placeOf(attempt)).join(',') || undefined}, now);
	}

	/** Logs the cancel of an attempt: because another one of its request goes on without it, or the request has ended. `other` is the one in progress beside it. An overlap that lasted longer than is allowed is counted. */
	cancelled(record: RequestRecord, cancelled: RunningAttempt, {reason, other}: {reason: CancelReason; other?: RunningAttempt}, now: Millis): void {
		if (record.resends === 0) {
			return;
		}

		const pair = {running: other, kept: [cancelled]};
		const overlapSince = overlapStart(pair);
		const overlapMs = overlapSince === undefined ? undefined : Math.round(now - overlapSince);
		if ((overlapMs ?? 0) > overlapLimitMs(overlapHops(pair)) + lateMs) {
			this.#queue.count('long_overlaps', reason);
		}

		this.#queue.event('attempt-cancelled', {
			request: record.req.callerKey,
			target: placeOf(cancelled),
			attempt: cancelled.attempt,
			reason,
			events: cancelled.events,
			sentForMs: Math.round(now - cancelled.sentAt),
			workedForMs: sinceMs(cancelled.workingSince, now),
			other: other && placeOf(other),
			overlapMs,
			bothSentMs: other && Math.round(now - Math.max(other.sentAt, cancelled.sentAt)),
		});
	}

	#logStart({req}: RequestRecord, attempt: RunningAttempt, fields: Readonly<Record<string, unknown>>, now: Millis): void {
		this.#queue.event('attempt-started', {
			request: req.callerKey,
			target: placeOf(attempt),
			attempt: attempt.attempt,
			...fields,
			afterMs: Math.round(attempt.sentAt - req.arrivedAt),
			sentForMs: Math.round(now - attempt.sentAt),
			workedForMs: sinceMs(attempt.workingSince, now),
		});
	}
}

/** The target of an attempt, or the region that it was forwarded to. */
function placeOf({targetId, forwardedTo}: RunningAttempt): string | undefined {
	return targetId ?? forwardedTo?.region;
}

function sinceMs(time: Millis | undefined, now: Millis): number | undefined {
	return time === undefined ? undefined : Math.round(now - time);
}
