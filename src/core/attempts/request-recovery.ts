import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptHandover} from './attempt-handover.ts';
import type {AttemptRunner} from './attempt-runner.ts';
import type {AttemptState} from './attempt-state.ts';
import {defaultRetryAfterMs} from './default-retry-after-ms.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {isConnectionBroken} from './is-connection-broken.ts';
import {currentSettings} from './current-settings.ts';
import type {RequestDispatcher} from './request-dispatcher.ts';
import type {RequestState} from './request-state.ts';
import {softwareVersionOf} from './software-version-of.ts';
import {failureResult} from './failure-result.ts';
import {classifyRequest} from './classify-request.ts';
import {decideRetry} from './decide-retry.ts';

/** An attempt that started or received bytes within this time is not treated as lost, in milliseconds. */
const recentProgressMs = 1000;

/** Interval at which another target is looked for than one that is out of reach, in milliseconds. */
const failOverIntervalMs = 1000;

type RecoveryOptions = {
	readonly parts: CoordinatorOptions;
	readonly runner: AttemptRunner;
	readonly dispatcher: RequestDispatcher;
	readonly handover: AttemptHandover;
	/** Finds a request that has no final answer yet. */
	readonly findRequest: (requestId: RequestId) => RequestState | undefined;
	/** Refuses a request as its final answer. */
	readonly refuse: (state: RequestState, reason: Omit<Refusal, 'ran'>, now: Millis) => void;
};

/** Recovers requests from failed, lost or silent attempts: retries, resumes, fails over or gives up. */
export class RequestRecovery {
	readonly #options: RecoveryOptions;
	readonly #parts: CoordinatorOptions;
	readonly #runner: AttemptRunner;
	readonly #dispatcher: RequestDispatcher;
	readonly #handover: AttemptHandover;

	constructor(options: RecoveryOptions) {
		this.#options = options;
		this.#parts = options.parts;
		this.#runner = options.runner;
		this.#dispatcher = options.dispatcher;
		this.#handover = options.handover;
	}

	/** Retries or resumes the request of a failed attempt, or gives it up. */
	attemptFailed(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): void {
		if (failure.passedOn && (attempt.standby || attempt.firstByteAt === undefined)) {
			this.#handover.sign(state, attempt, now);
		}

		if (state.kept?.attempt === attempt) {
			this.#runner.failKept(state, failure, now);
			return;
		}

		this.#runner.fail(state, attempt, failure, now);
		const settings = currentSettings(state.req, this.#parts.tree());
		if (!settings) {
			this.#options.refuse(state, {result: 'unknownRoute'}, now);
			return;
		}

		const decision = decideRetry(state, failure, settings, now);
		if (decision.type === 'give-up') {
			this.#giveUp(state, failure, decision, now);
			return;
		}

		if (this.#mayRetry(state, attempt, failure, now)) {
			this.#retryOrResume(state, settings, now);
		} else {
			this.#giveUp(state, failure, {result: failureResult(failure), retryable: true}, now);
		}
	}

	/**
	 * Fails over the attempts on targets whose lease ended or that restarted as a new incarnation, except those with
	 * recent progress and those on targets that leave.
	 */
	targetsLost(targetIds: readonly TargetId[], now: Millis): void {
		const lost = targetIds
			.flatMap(targetId => this.#runner.attemptsOnTarget(targetId))
			.filter(attempt => !attempt.leaving && this.#isSilent(attempt, now));
		for (const attempt of lost) {
			this.#runner.suspectCrash(this.#options.findRequest(attempt.requestId)!, attempt, now);
		}

		for (const attempt of lost) {
			const state = this.#options.findRequest(attempt.requestId);
			if (state?.attempt === attempt) {
				this.#failOverLost(state, attempt, {reason: 'reset', isCrashCounted: true}, now);
			} else if (state?.kept?.attempt === attempt) {
				this.#handover.crashCounted(state, now);
			}
		}
	}

	/** Fails over a running request that was forwarded to a region now unreachable, or is at a target out of reach, or whose first byte is late. */
	checkRunning(state: RequestState, now: Millis): void {
		const {attempt} = state;
		if (!attempt) {
			return;
		}

		const isDue = attempt.failOverAgainAt === undefined || now >= attempt.failOverAgainAt;
		if (isDue && this.#isSilent(attempt, now) && this.#isOutOfReach(attempt, now)) {
			this.#failOverLost(state, attempt, {reason: attempt.destination.type === 'peer' ? 'reset' : 'silence', isCrashCounted: false}, now);
		} else if (this.#runner.isLate(attempt, now)) {
			attempt.failoverAt = undefined;
			this.#failOverSlow(state, now);
		}
	}

	/** Starts another attempt beside one without a first byte if another target is predicted to answer before the deadline. */
	#failOverSlow(state: RequestState, now: Millis): void {
		const settings = currentSettings(state.req, this.#parts.tree());
		if (!settings?.repeatable || state.attempts >= settings.maxAttempts) {
			return;
		}

		const free = classifyRequest(this.#parts.poison, state.req, now).type === 'free';
		const decision = this.#dispatcher.preview(state, settings, now);
		const better = free && decision.type === 'target' && now + decision.predictedMs < state.deadlineAt;
		if (better && this.#withdrawRetry(state, 'first_byte', now)) {
			if (this.#handover.mayKeep(state, false, now)) {
				this.#handover.keep(state, {}, now);
			} else {
				this.#runner.cancel(state, 'replaced', now);
			}

			this.#dispatcher.dispatch(state, now);
		}
	}

	/** Fails over an attempt whose destination is lost, or out of reach; it continues without an alternative, and until that has taken the request over, in case its answer still arrives. */
	#failOverLost(state: RequestState, attempt: AttemptState, {reason, isCrashCounted}: {reason: AttemptFailure['reason']; isCrashCounted: boolean}, now: Millis): void {
		const settings = currentSettings(state.req, this.#parts.tree());
		if (!settings) {
			return;
		}

		const passedOn = attempt.firstByteAt !== undefined;
		const failure: AttemptFailure = {
			reason, notSent: false, passedOn, tokens: attempt.tokens,
		};
		const stateIfLost: RequestState = {
			...state,
			partiallyAnswered: state.partiallyAnswered || passedOn,
			softwareVersion: state.partiallyAnswered ? state.softwareVersion : softwareVersionOf(attempt),
			mayHaveRun: true,
		};
		const canFailOver = decideRetry(stateIfLost, failure, settings, now).type !== 'give-up';
		if (!canFailOver || !this.#hasAlternative(stateIfLost, settings, now)) {
			return;
		}

		attempt.failOverAgainAt = now + failOverIntervalMs as Millis;
		if (!this.#mayRetry(state, attempt, failure, now)) {
			return;
		}

		if (this.#handover.mayKeep(state, isCrashCounted, now)) {
			this.#handover.keep(state, {failure, isCrashCounted}, now);
		} else {
			this.#runner.giveUp(state, attempt, {failure, cause: 'replaced'}, now);
		}

		this.#retryOrResume(state, settings, now);
	}

	/** The end of a target's pause is no alternative: the answer may arrive before it. */
	#hasAlternative(state: RequestState, settings: RouteSettings, now: Millis): boolean {
		const decision = this.#dispatcher.preview(state, settings, now);
		return decision.type === 'wait' ? !decision.forPause : decision.type !== 'refuse';
	}

	/** Time for which this process stood still is not its target's silence: what came meanwhile may still be unread. */
	#isSilent(attempt: AttemptState, now: Millis): boolean {
		return this.#runner.silentMs(attempt, now) >= recentProgressMs;
	}

	#isOutOfReach({destination}: AttemptState, now: Millis): boolean {
		const {membership, targets} = this.#parts;
		return destination.type === 'peer'
			? membership.region(destination.region, now)?.reachable !== true
			: targets.get(destination.targetId, now)?.reachability.isConfirmedOutOfReach(now) === true;
	}

	#retryOrResume(state: RequestState, settings: RouteSettings, now: Millis): void {
		if (state.partiallyAnswered) {
			// The caller has part of the answer: the next byte may take as long as a silence within an answer.
			state.deadlineAt = now + settings.silenceMs as Millis;
			this.#parts.outbox.count('resumes');
		}

		this.#dispatcher.dispatch(state, now);
	}

	/** After a target crash a request is retried even if the retry budget is exhausted: the poison guard already limits where a suspect runs again. */
	#mayRetry(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): boolean {
		const crashed = attempt.destination.type === 'target' && isConnectionBroken(failure);
		return this.#withdrawRetry(state, failure.reason, now) || crashed;
	}

	#withdrawRetry(state: RequestState, reason: string, now: Millis): boolean {
		state.retryReason = reason;
		const allowed = this.#parts.retryBudget.withdraw(state.routeKey, now);
		this.#parts.outbox.count('retries', allowed ? reason : 'budget_exhausted');
		return allowed;
	}

	#giveUp(
		state: RequestState,
		failure: AttemptFailure,
		decision: {readonly result: Refusal['result']; readonly retryable: boolean},
		now: Millis,
	): void {
		// What a target asked for holds for that target only; a peer's delay already accounts for the targets of its region.
		const retryAfterMs = failure.refusal?.retryAfterMs ?? this.#dispatcher.retryAfterPausesMs(state, now) ?? defaultRetryAfterMs(this.#parts.random);
		const detail = failure.refusal?.detail;
		this.#options.refuse(state, {
			result: decision.result,
			...(decision.retryable && {retryAfterMs}),
			...(detail !== undefined && {detail}),
		}, now);
	}
}
