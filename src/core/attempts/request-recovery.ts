import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptRunner} from './attempt-runner.ts';
import type {AttemptState} from './attempt-state.ts';
import {comeBackAfter} from './come-back-after.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {isBroken} from './is-broken.ts';
import type {RequestDispatcher} from './request-dispatcher.ts';
import type {RequestState} from './request-state.ts';
import {resultOfFailure} from './result-of-failure.ts';
import {retryRule} from './retry-rule.ts';

/** A place that passed bytes on within this time is not taken for lost, in milliseconds. */
const livelyMs = 1000;

type RecoveryOptions = {
	readonly parts: CoordinatorOptions;
	readonly runner: AttemptRunner;
	readonly dispatcher: RequestDispatcher;
	/** The request of this id, while it has no final answer. */
	readonly requestOf: (requestId: RequestId) => RequestState | undefined;
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
	failed(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): void {
		this.#runner.fail(state, attempt, failure, now);
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings) {
			this.#options.refuse(state, {result: 'unknownRoute'}, now);
			return;
		}

		const verdict = retryRule(state, failure, settings, now);
		if (verdict.type === 'give-up') {
			this.#giveUp(state, failure, verdict, now);
			return;
		}

		// Work that a crash cut off is moved without a budget: the poison guard bounds where a suspect runs again.
		const crashed = attempt.place.type === 'target' && isBroken(failure);
		if (this.#withdraw(state, failure.reason, now) || crashed) {
			this.#again(state, settings, now);
		} else {
			this.#giveUp(state, failure, {result: resultOfFailure(failure), canComeBack: true}, now);
		}
	}

	/** Targets whose lease ended or that came back as a new incarnation: their work is moved at once. */
	targetsLost(targetIds: readonly TargetId[], now: Millis): void {
		const lost = targetIds
			.flatMap(targetId => this.#runner.onTarget(targetId))
			.filter(attempt => !attempt.leaving && isSilent(attempt, now));
		for (const attempt of lost) {
			this.#runner.suspectCrash(this.#options.requestOf(attempt.requestId)!, attempt, now);
		}

		for (const attempt of lost) {
			this.#moveLost(attempt, now);
		}
	}

	/** Looks whether a running request is better off elsewhere. */
	check(state: RequestState, now: Millis): void {
		const {attempt} = state;
		if (!attempt) {
			return;
		}

		if (attempt.place.type === 'peer' && isSilent(attempt, now) && !this.#reachable(attempt.place.region, now)) {
			this.#moveLost(attempt, now);
		} else if (attempt.firstByteAt === undefined && attempt.moveAt !== undefined && now >= attempt.moveAt) {
			attempt.moveAt = undefined;
			this.#moveSlow(state, now);
		}
	}

	/** Leaves a place that gave no byte for long, if a target is predicted to answer before the deadline. */
	#moveSlow(state: RequestState, now: Millis): void {
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings?.repeatable || state.attempts >= settings.maxAttempts) {
			return;
		}

		const free = this.#parts.poison.verdict(state.req.fingerprint, now).type === 'free';
		const decision = this.#dispatcher.preview(state, settings, now);
		const better = free && decision.type === 'target' && now + decision.predictedMs < state.deadlineAt;
		if (better && this.#withdraw(state, 'first_byte', now)) {
			this.#runner.cancel(state, now);
			this.#dispatcher.place(state, now);
		}
	}

	/** Moves work away from a lost place; without another one it stays, in case the answer comes after all. */
	#moveLost(attempt: AttemptState, now: Millis): void {
		const state = this.#options.requestOf(attempt.requestId)!;
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings) {
			return;
		}

		const passedOn = attempt.firstByteAt !== undefined;
		const failure: AttemptFailure = {
			reason: 'reset', notSent: false, passedOn, tokens: attempt.tokens,
		};
		const trial: RequestState = {...state, passedOn: state.passedOn || passedOn, mayHaveRun: true};
		const movable = retryRule(trial, failure, settings, now).type !== 'give-up';
		if (movable && this.#dispatcher.preview(trial, settings, now).type !== 'refuse') {
			this.#parts.emit({type: 'cancel-attempt', attemptId: attempt.attemptId});
			this.failed(state, attempt, failure, now);
		}
	}

	#reachable(region: Parameters<CoordinatorOptions['membership']['region']>[0], now: Millis): boolean {
		return this.#parts.membership.region(region, now)?.reachable ?? false;
	}

	#again(state: RequestState, settings: RouteSettings, now: Millis): void {
		if (state.passedOn) {
			// The caller has part of the answer: it waits for the rest as long as silence inside an answer may last.
			state.deadlineAt = now + settings.silenceMs as Millis;
			this.#parts.outbox.count('resumes');
		}

		this.#dispatcher.place(state, now);
	}

	#withdraw(state: RequestState, reason: string, now: Millis): boolean {
		const allowed = this.#parts.retryBudget.withdraw(state.routeKey, now);
		this.#parts.outbox.count('retries', allowed ? reason : 'budget_exhausted');
		return allowed;
	}

	#giveUp(
		state: RequestState,
		failure: AttemptFailure,
		verdict: {readonly result: Refusal['result']; readonly canComeBack: boolean},
		now: Millis,
	): void {
		const retryAfterMs = failure.retryAfterMs ?? failure.refusal?.retryAfterMs ?? comeBackAfter(this.#parts.random);
		const detail = failure.refusal?.detail;
		this.#options.refuse(state, {
			result: verdict.result,
			...(verdict.canComeBack && {retryAfterMs}),
			...(detail !== undefined && {detail}),
		}, now);
	}
}

function isSilent(attempt: AttemptState, now: Millis): boolean {
	return now - (attempt.progressAt ?? attempt.startedAt) >= livelyMs;
}
