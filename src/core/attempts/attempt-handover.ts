import type {Millis} from '../ids/millis.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptRunner} from './attempt-runner.ts';
import type {AttemptState} from './attempt-state.ts';
import type {CancelCause} from './cancel-cause.ts';
import {classifyRequest} from './classify-request.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import type {RequestDispatcher} from './request-dispatcher.ts';
import type {RequestState} from './request-state.ts';
import {softwareVersionOf} from './software-version-of.ts';

type HandoverOptions = {
	readonly parts: CoordinatorOptions;
	readonly runner: AttemptRunner;
	readonly dispatcher: RequestDispatcher;
};

/**
 * Hands requests over from one attempt to another: an attempt that its request fails over from is kept until another one
 * has received its first byte, or, if it resumes a stream, its first event. Whichever of the two receives one first goes on,
 * and the other one is cancelled. The head of a resumed stream starts the time after which the other one takes over without
 * an event: until then it may break off, and nothing is cancelled before the head.
 */
export class AttemptHandover {
	readonly #parts: CoordinatorOptions;
	readonly #runner: AttemptRunner;
	readonly #dispatcher: RequestDispatcher;

	constructor(options: HandoverOptions) {
		this.#parts = options.parts;
		this.#runner = options.runner;
		this.#dispatcher = options.dispatcher;
	}

	/**
	 * Whether the request's attempt may go on while another one is looked for. Only one attempt is kept, and a suspect's
	 * only if its target's crash is counted already, since a suspect never runs at two targets that may still crash.
	 */
	mayKeep(state: RequestState, isCrashCounted: boolean, now: Millis): boolean {
		const {type} = classifyRequest(this.#parts.poison, state.req, now);
		return !state.kept && (type === 'free' || (type === 'alone' && isCrashCounted));
	}

	/** Keeps the request's attempt; without a `failure`, its first byte is only late. The request is to be dispatched next. */
	keep(state: RequestState, options: {failure?: AttemptFailure; isCrashCounted?: boolean}, now: Millis): void {
		const {failure, isCrashCounted = false} = options;
		const attempt = state.attempt!;
		const {partiallyAnswered, softwareVersion, deliveredTokens, deadlineAt} = state;
		state.kept = {
			attempt,
			result: failure ? 'failed' : 'cancelled',
			reason: failure?.reason,
			before: {
				partiallyAnswered, softwareVersion, deliveredTokens, deadlineAt,
			},
			stoppedForGuard: false,
		};
		state.attempt = undefined;
		state.phase = 'placing';
		if (failure?.passedOn) {
			state.softwareVersion = partiallyAnswered ? softwareVersion : softwareVersionOf(attempt);
			state.partiallyAnswered = true;
			state.deliveredTokens += failure.tokens;
		}

		if (isCrashCounted) {
			this.crashCounted(state, now);
		}
	}

	/** The request is blamed for a crash of the kept attempt's target: a suspect may get a permit for another target then. */
	crashCounted(state: RequestState, now: Millis): void {
		const {kept} = state;
		const isAlone = classifyRequest(this.#parts.poison, state.req, now).type === 'alone';
		if (isAlone && kept?.attempt.destination.type === 'target' && !kept.stoppedForGuard) {
			kept.stoppedForGuard = true;
			this.#parts.poison.attemptStopped(state.req.fingerprint, kept.attempt.destination.targetId, now);
		}
	}

	/** The head of a successful answer arrived. */
	head(state: RequestState, attempt: AttemptState, now: Millis): void {
		if (!attempt.standby || !attempt.resume) {
			this.sign(state, attempt, now);
		} else if (state.kept?.attempt !== attempt) {
			this.#runner.overlaps.start(state, now);
		}
	}

	/** An attempt received bytes: it goes on as the request's only one, and writes to the caller. */
	sign(state: RequestState, attempt: AttemptState, now: Millis): void {
		if (state.kept?.attempt === attempt) {
			this.giveBack(state, now);
		}

		this.#takeOver(state, attempt, 'taken-over', now);
	}

	/** Ends the time for which both attempts of a request may be at work. */
	limitOverlap(state: RequestState, now: Millis): void {
		if (state.attempt && this.#runner.overlaps.isOver(state)) {
			this.#takeOver(state, state.attempt, 'overlap-limit', now);
		}
	}

	/** The request goes on with its kept attempt: what it waits for, and the attempt that was to take it over, are given up. */
	giveBack(state: RequestState, now: Millis): void {
		const kept = state.kept!;
		if (state.phase === 'queued') {
			this.#parts.admission.take(state.req.requestId);
		}

		if (state.phase === 'paused') {
			this.#dispatcher.forget(state);
		}

		this.#runner.cancel(state, 'outrun', now);
		Object.assign(state, kept.before);
		state.kept = undefined;
		state.pendingPermitTarget = undefined;
		state.attempt = kept.attempt;
		state.phase = 'running';
		if (kept.stoppedForGuard && kept.attempt.destination.type === 'target') {
			this.#parts.poison.attemptStarted(state.req.fingerprint, kept.attempt.destination.targetId, now);
		}
	}

	/** Makes an attempt the request's only one, and the one that writes to the caller. */
	#takeOver(state: RequestState, attempt: AttemptState, cause: CancelCause, now: Millis): void {
		this.#runner.dropKept(state, cause, now);
		if (attempt.standby) {
			attempt.standby = false;
			this.#parts.emit({
				type: 'hand-over', requestId: state.req.requestId, attemptId: attempt.attemptId, resume: attempt.resume,
			});
		}
	}
}
