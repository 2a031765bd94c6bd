import type {AttemptId} from '../ids/attempt-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {ClaimOutcome} from '../ledger/claim-outcome.ts';
import type {StoredAnswer} from '../ledger/stored-answer.ts';
import type {Refusal} from '../results/refusal.ts';
import type {ResultName} from '../results/result-name.ts';
import {residencyAllows} from '../routing/residency-allows.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {TargetNotice} from '../targets/target-notice.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import {AttemptHandover} from './attempt-handover.ts';
import {AttemptRunner} from './attempt-runner.ts';
import {ClaimTracker} from './claim-tracker.ts';
import {currentSettings} from './current-settings.ts';
import {defaultRetryAfterMs} from './default-retry-after-ms.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {createRequestState} from './create-request-state.ts';
import {toFinalRefusal} from './to-final-refusal.ts';
import {RequestDispatcher} from './request-dispatcher.ts';
import {RequestRecovery} from './request-recovery.ts';
import type {RequestState} from './request-state.ts';

/** Results that a later retry by the caller may change. */
const retryableResults = new Set<ResultName>([
	'overloaded',
	'deadline',
	'queueFull',
	'noTarget',
	'draining',
	'organisationShare',
	'poison',
	'inProgress',
	'ledgerUnavailable',
	'targetFailed',
	'silence',
]);

/**
 * Coordinates every request of this entry from its arrival to its final answer: claim, routing, attempts, retries and
 * resumption. Each request gets exactly one `complete`, `refuse` or `replay` action, unless its caller disconnects
 * first and the request is dropped.
 */
export class RequestCoordinator {
	readonly #parts: CoordinatorOptions;
	readonly #dispatcher: RequestDispatcher;
	readonly #handover: AttemptHandover;
	readonly #recovery: RequestRecovery;
	readonly #runner: AttemptRunner;
	readonly #claims: ClaimTracker;
	readonly #requests = new Map<RequestId, RequestState>();
	#draining = false;
	/** Time for which this process had stood still at the last tick, in milliseconds. */
	#lostMs = 0;

	constructor(options: CoordinatorOptions) {
		this.#parts = options;
		this.#runner = new AttemptRunner(options);
		this.#claims = new ClaimTracker(options.ledger);
		const shared = {
			parts: options,
			runner: this.#runner,
			findRequest: (requestId: RequestId) => this.#requests.get(requestId),
			refuse: this.#refuse.bind(this),
		};
		this.#dispatcher = new RequestDispatcher(shared);
		this.#handover = new AttemptHandover({...shared, dispatcher: this.#dispatcher});
		this.#recovery = new RequestRecovery({...shared, dispatcher: this.#dispatcher, handover: this.#handover});
	}

	/** Accepts a request from a caller or from an entry of another region. */
	handleRequest(req: RequestInfo, now: Millis): void {
		if (this.#requests.has(req.requestId)) {
			this.#parts.outbox.count('stale_messages', 'request');
			return;
		}

		this.#parts.outbox.count('requests', req.forwardedBy ? 'forwarded' : req.kind);
		const settings = this.#parts.tree().route(req.path);
		if (!settings) {
			this.#emitRefusal(req.requestId, {result: 'unknownRoute', ran: req.idempotencyKey === undefined ? 'no' : 'maybe'});
			return;
		}

		const state = createRequestState(req, settings);
		this.#requests.set(req.requestId, state);
		this.#admit(state, settings, now);
	}

	/** The caller closed its connection: its request ends, unless it is non-repeatable with an attempt in flight, which continues so that its answer is kept. */
	handleCallerGone(requestId: RequestId, now: Millis): void {
		const state = this.#requests.get(requestId);
		if (!state) {
			return;
		}

		state.callerGone = true;
		if (state.attempt && !state.repeatable) {
			return;
		}

		this.#parts.outbox.count('refusals', 'callerGone');
		this.#runner.dropKept(state, 'caller-gone', now);
		this.#runner.cancel(state, 'caller-gone', now);
		this.#close(state, now);
		this.#dispatcher.drainQueue(state.serviceKey, now);
	}

	/** The target of an attempt says something of the requests that it wants. */
	targetNotice(attemptId: AttemptId, notice: TargetNotice, now: Millis): void {
		const attempt = this.#runner.get(attemptId);
		if (attempt?.destination.type === 'target') {
			const {targetId, incarnation} = attempt.destination;
			this.#parts.targets.recordNotice(targetId, {incarnation, notice, request: attempt.requestId}, now);
		}
	}

	/** The first byte of a successful answer arrived. */
	attemptFirstByte(attemptId: AttemptId, now: Millis): void {
		const attempt = this.#runner.get(attemptId);
		if (attempt) {
			this.#handover.head(this.#requests.get(attempt.requestId)!, attempt, now);
			this.#runner.firstByte(attempt, now);
		}
	}

	/** More of an answer was delivered; `totals` are those of the attempt so far. */
	attemptProgress(attemptId: AttemptId, totals: {tokens: number; bytes: number}, now: Millis): void {
		const attempt = this.#runner.get(attemptId);
		if (attempt) {
			this.#handover.sign(this.#requests.get(attempt.requestId)!, attempt, now);
			this.#runner.progress(attempt, totals, now);
		}
	}

	/** The answer of an attempt is complete. */
	attemptEnded(attemptId: AttemptId, end: {tokens: number; bytes: number; answer?: StoredAnswer}, now: Millis): void {
		const attempt = this.#runner.get(attemptId);
		if (!attempt) {
			return;
		}

		const state = this.#requests.get(attempt.requestId)!;
		this.#handover.sign(state, attempt, now);
		this.#runner.progress(attempt, end, now);
		this.#runner.complete(state, attempt, now);
		this.#claims.settleAnswered(state, this.#homeRegionAllowed(state) ? end.answer : undefined, now);
		this.#parts.outbox.count('answers', state.req.kind);
		this.#parts.emit({type: 'complete', requestId: state.req.requestId, attemptId});
		this.#requests.delete(state.req.requestId);
		this.#dispatcher.drainQueue(state.serviceKey, now);
	}

	/** An attempt ended without a complete answer. */
	attemptFailed(attemptId: AttemptId, failure: AttemptFailure, now: Millis): void {
		const attempt = this.#runner.get(attemptId);
		if (!attempt) {
			return;
		}

		const state = this.#requests.get(attempt.requestId)!;
		this.#recovery.attemptFailed(state, attempt, failure, now);
		this.#dispatcher.drainQueue(state.serviceKey, now);
	}

	/** Handles the ledger's outcomes of claims. */
	handleClaimOutcomes(outcomes: ReadonlyArray<{requestId: RequestId; outcome: ClaimOutcome}>, now: Millis): void {
		for (const {requestId, outcome} of outcomes) {
			this.#claimOutcome(requestId, outcome, now);
		}
	}

	/** Fails over the silent attempts on targets whose lease ended or that restarted as a new incarnation. */
	targetsLost(targetIds: readonly TargetId[], now: Millis): void {
		this.#recovery.targetsLost(targetIds, now);
	}

	/** Dispatches waiting requests, refuses those whose deadline has passed and fails over running ones; called about every 100 ms. */
	tick(now: Millis): void {
		this.#extendResumes(now);
		this.#runner.tick(now);
		for (const {req, refusal} of this.#parts.admission.expire(now)) {
			const state = this.#requests.get(req.requestId);
			if (state) {
				this.#refuse(state, refusal, now);
			}
		}

		this.#dispatcher.retryAllPaused(now);
		for (const serviceKey of this.#parts.admission.waitingServices()) {
			this.#dispatcher.drainQueue(serviceKey, now);
		}

		for (const state of this.#requests.values()) {
			this.#tickRequest(state, now);
		}
	}

	/** Refuses new requests from now on; requests in flight continue. */
	drain(): void {
		this.#draining = true;
	}

	/** True once `drain` was called and no request is in flight. */
	drained(): boolean {
		return this.#draining && this.#requests.size === 0;
	}

	/** Number of requests without a final answer: claiming, waiting and running ones. */
	inFlight(): number {
		return this.#requests.size;
	}

	/** Bytes exchanged with entries of other regions in the last second, for requests that this node forwarded. */
	remoteBytesLastSecond(now: Millis): number {
		return this.#runner.remoteBytesLastSecond(now);
	}

	/** False if residency was narrowed so that it excludes the home region that the request had on arrival. */
	#homeRegionAllowed({req}: RequestState): boolean {
		const settings = currentSettings(req, this.#parts.tree());
		return settings === undefined || residencyAllows({req, settings}, req.homeRegion);
	}

	#admit(state: RequestState, settings: RouteSettings, now: Millis): void {
		const {req} = state;
		if (this.#draining) {
			this.#refuse(state, {result: 'draining'}, now);
		} else if (state.repeatable || state.claim === 'elsewhere') {
			this.#dispatcher.drainQueue(state.serviceKey, now);
			this.#dispatcher.dispatch(state, now);
		} else if (req.forwardedBy) {
			this.#refuse(state, {result: 'ledgerUnavailable', detail: 'The forwarding entry holds no claim.'}, now);
		} else if (req.idempotencyKey === undefined) {
			this.#refuse(state, {result: 'keyMissing'}, now);
		} else {
			this.#claims.claim(state, req.idempotencyKey, settings, now);
		}
	}

	#claimOutcome(requestId: RequestId, outcome: ClaimOutcome, now: Millis): void {
		const state = this.#requests.get(requestId);
		if (state?.phase !== 'claiming') {
			const known = this.#claims.applyLateOutcome(requestId, outcome, now);
			this.#parts.outbox.count('stale_messages', known ? 'abandoned_claim' : 'claim');
			return;
		}

		const step = this.#claims.apply(state, outcome);
		switch (step.type) {
			case 'run': {
				this.#dispatcher.drainQueue(state.serviceKey, now);
				this.#dispatcher.dispatch(state, now);
				break;
			}

			case 'replay': {
				this.#parts.outbox.count('replays');
				this.#parts.emit({type: 'replay', requestId, answer: step.answer});
				this.#requests.delete(requestId);
				break;
			}

			case 'refuse': {
				this.#refuse(state, step.reason, now);
				break;
			}
		}
	}

	/** An interrupted answer that waits for a target to resume on gets the time back for which this process stood still. */
	#extendResumes(now: Millis): void {
		const lostMs = this.#runner.lostMs(now) - this.#lostMs;
		if (lostMs === 0) {
			return;
		}

		this.#lostMs += lostMs;
		for (const state of this.#requests.values()) {
			if (state.partiallyAnswered) {
				state.deadlineAt = state.deadlineAt + lostMs as Millis;
			}
		}
	}

	#tickRequest(state: RequestState, now: Millis): void {
		if (state.phase === 'running') {
			this.#handover.limitOverlap(state, now);
			this.#recovery.checkRunning(state, now);
		} else if (state.phase === 'claiming' && now >= state.deadlineAt) {
			this.#refuse(state, {result: 'ledgerUnavailable'}, now);
		} else if ((state.phase === 'parked' || state.phase === 'paused') && now >= state.deadlineAt) {
			this.#refuse(state, {result: 'deadline', retryAfterMs: this.#dispatcher.retryAfterPausesMs(state, now)}, now);
		} else if (state.phase === 'parked' && now >= state.parkedUntil) {
			this.#dispatcher.dispatch(state, now);
		}
	}

	/** Refuses a request as its final answer: settles its claim, and adds a retry delay if a retry may succeed. A request with a kept attempt goes on with that instead. */
	#refuse(state: RequestState, reason: Omit<Refusal, 'ran'>, now: Millis): void {
		if (state.kept) {
			this.#handover.giveBack(state, now);
			return;
		}

		const refusal = toFinalRefusal(state, reason);
		const addRetryAfter = retryableResults.has(refusal.result) && refusal.retryAfterMs === undefined;
		this.#close(state, now);
		this.#emitRefusal(state.req.requestId, addRetryAfter ? {...refusal, retryAfterMs: defaultRetryAfterMs(this.#parts.random)} : refusal);
	}

	#emitRefusal(requestId: RequestId, refusal: Refusal): void {
		this.#parts.outbox.count('refusals', refusal.result);
		this.#parts.emit({type: 'refuse', requestId, refusal});
	}

	/** Ends a request without a complete answer. */
	#close(state: RequestState, now: Millis): void {
		const {requestId} = state.req;
		if (state.phase === 'queued') {
			this.#parts.admission.take(requestId);
		}

		if (state.phase === 'paused') {
			this.#dispatcher.forget(state);
		}

		if (state.phase === 'claiming') {
			this.#claims.abandon(requestId);
		}

		this.#claims.settleUnanswered(state, now);
		this.#requests.delete(requestId);
	}
}
