import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptRunner} from './attempt-runner.ts';
import type {AttemptState} from './attempt-state.ts';
import {defaultRetryAfterMs} from './default-retry-after-ms.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {isConnectionBroken} from './is-connection-broken.ts';
import type {RequestDispatcher} from './request-dispatcher.ts';
import type {RequestState} from './request-state.ts';
import {failureResult} from './failure-result.ts';
import {decideRetry} from './decide-retry.ts';

/** A place that passed bytes on within this time is not taken for lost, in milliseconds. */
const recentProgressMs = 1000;

type RecoveryOptions = {
	readonly parts: CoordinatorOptions;
	readonly runner: AttemptRunner;
	readonly dispatcher: RequestDispatcher;
	/** The request of this id, while it has no final answer. */
	readonly findRequest: (requestId: RequestId) => RequestState | undefined;
	/** Gives a request its final answer. */
	readonly refuse: (state: RequestState, reason: Omit<Refusal, 'ran'>, now: Millis) => void;
};

/** Brings requests on after a failed, lost or silent attempt: retried, resumed, moved or given up. */
export class RequestRecovery {
	readonly #options: RecoveryOptions;
	readonly #parts: CoordinatorOptions;
	readonly #runner: AttemptRunner;
	readonly #dispatcher: RequestDispatcher;

	constructor(options: RecoveryOptions) {
		this.#options = options;
		this.#parts = options.parts;
		this.#runner = options.runner;
		this.#dispatcher = options.dispatcher;
	}

	/** An attempt failed: retries or resumes its request, or gives it up. */
	attemptFailed(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): void {
		this.#runner.fail(state, attempt, failure, now);
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings) {
			this.#options.refuse(state, {result: 'unknownRoute'}, now);
			return;
		}

		const verdict = decideRetry(state, failure, settings, now);
		if (verdict.type === 'give-up') {
			this.#giveUp(state, failure, verdict, now);
			return;
		}

		// Work that a crash cut off is moved without a budget: the poison guard bounds where a suspect runs again.
		const crashed = attempt.destination.type === 'target' && isConnectionBroken(failure);
		if (this.#withdrawRetry(state, failure.reason, now) || crashed) {
			this.#retryOrResume(state, settings, now);
		} else {
			this.#giveUp(state, failure, {result: failureResult(failure), retryable: true}, now);
		}
	}

	/** Targets whose lease ended or that came back as a new incarnation: their work is moved at once. */
	targetsLost(targetIds: readonly TargetId[], now: Millis): void {
		const lost = targetIds
			.flatMap(targetId => this.#runner.attemptsOnTarget(targetId))
			.filter(attempt => !attempt.leaving && isSilent(attempt, now));
		for (const attempt of lost) {
			this.#runner.suspectCrash(this.#options.findRequest(attempt.requestId)!, attempt, now);
		}

		for (const attempt of lost) {
			this.#failOverLost(attempt, now);
		}
	}

	/** Looks whether a running request is better off elsewhere. */
	checkRunning(state: RequestState, now: Millis): void {
		const {attempt} = state;
		if (!attempt) {
			return;
		}

		if (attempt.destination.type === 'peer' && isSilent(attempt, now) && !this.#reachable(attempt.destination.region, now)) {
			this.#failOverLost(attempt, now);
		} else if (attempt.firstByteAt === undefined && attempt.failoverAt !== undefined && now >= attempt.failoverAt) {
			attempt.failoverAt = undefined;
			this.#failOverSlow(state, now);
		}
	}

	/** Leaves a place that gave no byte for long, if a target is predicted to answer before the deadline. */
	#failOverSlow(state: RequestState, now: Millis): void {
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings?.repeatable || state.attempts >= settings.maxAttempts) {
			return;
		}

		const free = this.#parts.poison.classify(state.req.fingerprint, now).type === 'free';
		const decision = this.#dispatcher.preview(state, settings, now);
		const better = free && decision.type === 'target' && now + decision.predictedMs < state.deadlineAt;
		if (better && this.#withdrawRetry(state, 'first_byte', now)) {
			this.#runner.cancel(state, now);
			this.#dispatcher.dispatch(state, now);
		}
	}

	/** Moves work away from a lost place; without another one it stays, in case the answer comes after all. */
	#failOverLost(attempt: AttemptState, now: Millis): void {
		const state = this.#options.findRequest(attempt.requestId)!;
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings) {
			return;
		}

		const passedOn = attempt.firstByteAt !== undefined;
		const failure: AttemptFailure = {
			reason: 'reset', notSent: false, passedOn, tokens: attempt.tokens,
		};
		const trial: RequestState = {...state, partiallyAnswered: state.partiallyAnswered || passedOn, mayHaveRun: true};
		const movable = decideRetry(trial, failure, settings, now).type !== 'give-up';
		if (movable && this.#dispatcher.preview(trial, settings, now).type !== 'refuse') {
			this.#parts.emit({type: 'cancel-attempt', attemptId: attempt.attemptId});
			this.attemptFailed(state, attempt, failure, now);
		}
	}

	#reachable(region: Parameters<CoordinatorOptions['membership']['region']>[0], now: Millis): boolean {
		return this.#parts.membership.region(region, now)?.reachable ?? false;
	}

	#retryOrResume(state: RequestState, settings: RouteSettings, now: Millis): void {
		if (state.partiallyAnswered) {
			// The caller has part of the answer: it waits for the rest as long as silence inside an answer may last.
			state.deadlineAt = now + settings.silenceMs as Millis;
			this.#parts.outbox.count('resumes');
		}

		this.#dispatcher.dispatch(state, now);
	}

	#withdrawRetry(state: RequestState, reason: string, now: Millis): boolean {
		const allowed = this.#parts.retryBudget.withdraw(state.routeKey, now);
		this.#parts.outbox.count('retries', allowed ? reason : 'budget_exhausted');
		return allowed;
	}

	#giveUp(
		state: RequestState,
		failure: AttemptFailure,
		verdict: {readonly result: Refusal['result']; readonly retryable: boolean},
		now: Millis,
	): void {
		const retryAfterMs = failure.retryAfterMs ?? failure.refusal?.retryAfterMs ?? defaultRetryAfterMs(this.#parts.random);
		const detail = failure.refusal?.detail;
		this.#options.refuse(state, {
			result: verdict.result,
			...(verdict.retryable && {retryAfterMs}),
			...(detail !== undefined && {detail}),
		}, now);
	}
}

function isSilent(attempt: AttemptState, now: Millis): boolean {
	return now - (attempt.progressAt ?? attempt.startedAt) >= recentProgressMs;
}
