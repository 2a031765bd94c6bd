import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptState} from './attempt-state.ts';
import type {CancelCause} from './cancel-cause.ts';
import type {RequestState} from './request-state.ts';

/** Logs how the attempts of a request begin and are cancelled, so that it can be read for how long two targets had it at once, and what says of an attempt that it has not run. Nothing else is logged of a request with a single attempt. */
export class AttemptLog {
	readonly #outbox: Outbox;

	constructor(outbox: Outbox) {
		this.#outbox = outbox;
	}

	/** Logs the start of a request's attempt; that of the first one together with the second. */
	started(state: RequestState, attempt: AttemptState, now: Millis): void {
		const {first, kept, attempts, retryReason} = state;
		if (first === undefined) {
			state.first = attempt;
			return;
		}

		if (attempts === 2) {
			this.#logStart(state, first, {reason: 'first'}, now);
		}

		this.#logStart(state, attempt, {reason: retryReason, beside: kept && placeOf(kept.attempt)}, now);
	}

	/** Logs the cancel of an attempt. `overlapMs`: time for which it was at work together with the other one, if that was seen to work. */
	cancelled(state: RequestState, attempt: AttemptState, {reason, overlapMs}: {reason: CancelCause; overlapMs: number | undefined}, now: Millis): void {
		if (state.attempts < 2 && reason === 'caller-gone') {
			return;
		}

		const other = state.kept && (state.kept.attempt === attempt ? state.attempt : state.kept.attempt);
		this.#outbox.event('attempt-cancelled', {
			request: state.req.requestId,
			target: placeOf(attempt),
			attempt: attempt.attemptId,
			reason,
			sentForMs: Math.round(now - attempt.startedAt),
			other: other && placeOf(other),
			overlapMs,
			bothSentMs: other && Math.round(now - Math.max(other.startedAt, attempt.startedAt)),
		});
	}

	/** Logs that an attempt has certainly not run, and what says so: an answer, or that no connection was made. */
	notRun({req}: RequestState, attempt: AttemptState, {reason, status, retryAfterMs, refusal, use}: AttemptFailure, now: Millis): void {
		const fields = {
			request: req.requestId, target: placeOf(attempt), attempt: attempt.attemptId, afterMs: Math.round(now - attempt.startedAt),
		};
		if (reason === 'connect') {
			this.#outbox.event('attempt-not-sent', {...fields, reason});
			return;
		}

		this.#outbox.event('attempt-not-run', {
			...fields, reason: refusal?.result ?? reason, status, retryAfterMs, ...use,
		});
	}

	#logStart({req}: RequestState, attempt: AttemptState, fields: Readonly<Record<string, unknown>>, now: Millis): void {
		this.#outbox.event('attempt-started', {
			request: req.requestId,
			target: placeOf(attempt),
			attempt: attempt.attemptId,
			...fields,
			afterMs: Math.round(attempt.startedAt - req.arrivedAt),
			sentForMs: Math.round(now - attempt.startedAt),
		});
	}
}

/** The target of an attempt, or the region that it was forwarded to. */
function placeOf({destination}: AttemptState): string {
	return destination.type === 'target' ? destination.targetId : destination.region;
}
