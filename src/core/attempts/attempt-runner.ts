import {AwakeClock} from '../common/awake-clock.ts';
import type {AttemptId} from '../ids/attempt-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import {toId} from '../ids/to-id.ts';
import type {NodeInfo} from '../membership/node-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptOutcome} from '../targets/attempt-outcome.ts';
import type {TargetView} from '../targets/target-view.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import {AttemptLog} from './attempt-log.ts';
import {AttemptOverlaps} from './attempt-overlaps.ts';
import {attemptTimeouts} from './attempt-timeouts.ts';
import type {AttemptState} from './attempt-state.ts';
import {AttemptTable} from './attempt-table.ts';
import type {CancelCause} from './cancel-cause.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {CrashMonitor} from './crash-monitor.ts';
import {isConnectionBroken} from './is-connection-broken.ts';
import {isClientError} from './is-client-error.ts';
import {partFingerprint} from './part-fingerprint.ts';
import {RateMeter} from './rate-meter.ts';
import type {RequestState} from './request-state.ts';
import {softwareVersionOf} from './software-version-of.ts';
import {remainingRequest} from './remaining-request.ts';

/** Share of the time to the deadline after which an attempt without a first byte may fail over to another target. */
const failoverShare = 0.5;

/** Interval between two checks for targets that leave, in milliseconds. */
const leavingCheckIntervalMs = 500;

/** Starts, tracks and ends attempts, and reports their outcomes to the target table and the poison guard. */
export class AttemptRunner {
	/** Times for which requests have two attempts at work. */
	readonly overlaps = new AttemptOverlaps();
	readonly #parts: CoordinatorOptions;
	readonly #log: AttemptLog;
	readonly #table = new AttemptTable();
	readonly #crashMonitor: CrashMonitor;
	readonly #remoteBytes = new RateMeter();
	readonly #awakeClock = new AwakeClock();
	#leavingCheckedAt = 0 as Millis;

	constructor(parts: CoordinatorOptions) {
		this.#parts = parts;
		this.#log = new AttemptLog(parts.outbox);
		this.#crashMonitor = new CrashMonitor(parts);
	}

	/** The attempt with this id if it is in flight; otherwise counts a stale message. */
	get(attemptId: AttemptId): AttemptState | undefined {
		const attempt = this.#table.get(attemptId);
		if (!attempt) {
			this.#parts.outbox.count('stale_messages', 'attempt');
		}

		return attempt;
	}

	attemptsOnTarget(targetId: TargetId): readonly AttemptState[] {
		return this.#table.attemptsOnTarget(targetId);
	}

	/** Bytes exchanged with entries of other regions in the last second. */
	remoteBytesLastSecond(now: Millis): number {
		return this.#remoteBytes.lastSecond(now);
	}

	/** Time for which an attempt has received nothing while this process ran, in milliseconds. */
	silentMs(attempt: AttemptState, now: Millis): number {
		return this.#awakeClock.step(now) - attempt.heardAt;
	}

	/** True once an attempt without a first byte may fail over to a faster target. */
	isLate({firstByteAt, failoverAt}: AttemptState, now: Millis): boolean {
		return firstByteAt === undefined && failoverAt !== undefined && this.#awakeClock.step(now) >= failoverAt;
	}

	/** Time for which this process has stood still so far, in milliseconds. */
	lostMs(now: Millis): number {
		this.#awakeClock.step(now);
		return this.#awakeClock.lostMs;
	}

	tick(now: Millis): void {
		this.#crashMonitor.tick(now);
		this.overlaps.tick(now);
		if (now - this.#leavingCheckedAt >= leavingCheckIntervalMs) {
			this.#leavingCheckedAt = now;
			this.#markLeavingTargets(now);
		}
	}

	/** Sends a request to a target of this region. */
	start(state: RequestState, settings: RouteSettings, choice: {view: TargetView; cachedTokens: number}, now: Millis): void {
		const {targetId, announcement} = choice.view;
		const {incarnation, softwareVersion} = announcement;
		const destination = {
			type: 'target', targetId, incarnation, softwareVersion,
		} as const;
		const crashSuspectedAtStart = this.#parts.poison.isCrashSuspected(targetId, announcement.incarnation);
		const attempt = this.#add(state, {destination, cachedTokens: choice.cachedTokens, crashSuspectedAtStart}, now);
		state.triedTargets.set(targetId, announcement.incarnation);
		attempt.failoverAt = failoverTime(state, attempt, now);
		this.#parts.poison.attemptStarted(state.req.fingerprint, targetId, now);
		this.#parts.targets.recordStart(targetId, {
			promptTokens: attempt.promptTokens,
			outputTokens: attempt.outputTokens,
			prefixBlocks: state.req.prefixBlocks,
		}, now);
		this.#parts.outbox.count('attempts', 'target');
		this.#emitStart(state, settings, {attempt, address: announcement.address, targetId}, now);
	}

	/** Forwards a request to an entry of another region, or to another one of this region. */
	forward(state: RequestState, settings: RouteSettings, choice: {entry: NodeInfo; region: Region}, now: Millis): void {
		const {entry, region} = choice;
		const attempt = this.#add(state, {destination: {type: 'peer', nodeId: entry.nodeId, region}, cachedTokens: 0, crashSuspectedAtStart: false}, now);
		state.triedRegions.add(region);
		attempt.failoverAt = failoverTime(state, attempt, now);
		this.#countRemoteBytes(state.req.bodyBytes, region, now);
		this.#parts.outbox.count('away', region);
		this.#parts.outbox.count('attempts', 'peer');
		this.#emitStart(state, settings, {attempt, address: entry.callerAddress, forwardTo: entry.nodeId}, now);
	}

	firstByte(attempt: AttemptState, now: Millis): void {
		attempt.firstByteAt ??= now;
		this.#recordSign(attempt, now);
	}

	/** Records progress of an answer; `totals` are those of the attempt so far. */
	progress(attempt: AttemptState, totals: {tokens: number; bytes: number}, now: Millis): void {
		if (attempt.destination.type === 'peer') {
			this.#countRemoteBytes(totals.bytes - attempt.bytes, attempt.destination.region, now);
		}

		attempt.firstByteAt ??= now;
		this.#recordSign(attempt, now);
		attempt.tokens = totals.tokens;
		attempt.bytes = totals.bytes;
	}

	/** Ends an attempt whose answer is complete. */
	complete(state: RequestState, attempt: AttemptState, now: Millis): void {
		this.#finish(state, attempt, 'whole', now);
		if (attempt.destination.type === 'target') {
			for (const fingerprint of partFingerprint.allOf(state.req)) {
				this.#parts.poison.attemptSucceeded(fingerprint, attempt.destination.targetId, now);
			}
		}
	}

	/** Ends a failed attempt and records in the request whether it may have run and what was delivered of its answer. */
	fail(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): void {
		this.#parts.outbox.count('attempt_failures', failure.reason);
		attempt.tokens = Math.max(attempt.tokens, failure.tokens);
		this.#recordWhetherRun(state, attempt, failure, now);
		if (failure.passedOn && !state.partiallyAnswered) {
			state.partiallyAnswered = true;
			state.softwareVersion = softwareVersionOf(attempt);
		}

		state.deliveredTokens += failure.passedOn ? attempt.tokens : 0;
		this.#recordFailedConnection(attempt, failure, now);
		this.#suspectIfBroken(state, attempt, failure, now);
		this.#finish(state, attempt, isClientError(failure.status) ? 'cancelled' : 'failed', now);
	}

	/** Ends a kept attempt that failed; its request goes on without it. */
	failKept(state: RequestState, failure: AttemptFailure, now: Millis): void {
		const {attempt, stoppedForGuard} = state.kept!;
		this.#parts.outbox.count('attempt_failures', failure.reason);
		this.#recordWhetherRun(state, attempt, failure, now);
		this.#recordFailedConnection(attempt, failure, now);
		if (!stoppedForGuard) {
			this.#suspectIfBroken(state, attempt, failure, now);
		}

		this.#finish(state, attempt, isClientError(failure.status) ? 'cancelled' : 'failed', now);
	}

	/** Cancels the request's kept attempt, if any, since another one takes the request over; `cause` is for logs. */
	dropKept(state: RequestState, cause: CancelCause, now: Millis): void {
		if (!state.kept) {
			return;
		}

		const {attempt, result, reason} = state.kept;
		if (reason !== undefined) {
			this.#parts.outbox.count('attempt_failures', reason);
		}

		state.mayHaveRun = true;
		this.#emitCancel(state, attempt, cause, now);
		this.#finish(state, attempt, result, now);
	}

	/** Cancels the request's attempt, if any; nothing more of it reaches the caller. `cause` is for logs. */
	cancel(state: RequestState, cause: CancelCause, now: Millis): void {
		const {attempt} = state;
		if (!attempt) {
			return;
		}

		state.mayHaveRun = true;
		this.#emitCancel(state, attempt, cause, now);
		this.#finish(state, attempt, 'cancelled', now);
	}

	/** Cancels the request's attempt and records it as failed. */
	giveUp(state: RequestState, attempt: AttemptState, {failure, cause}: {failure: AttemptFailure; cause: CancelCause}, now: Millis): void {
		this.#emitCancel(state, attempt, cause, now);
		this.fail(state, attempt, failure, now);
	}

	/**
	 * Reports the attempt's target as possibly crashed, with the request as a suspect. Does nothing if the crash was
	 * suspected before the attempt started and no byte came since: the request did not cause it then.
	 */
	suspectCrash(state: RequestState, attempt: AttemptState, now: Millis): void {
		const crashedBefore = attempt.crashSuspectedAtStart && attempt.firstByteAt === undefined;
		if (attempt.destination.type === 'target' && !crashedBefore) {
			const {targetId, incarnation} = attempt.destination;
			this.#crashMonitor.suspect(targetId, incarnation, partFingerprint.allOf(state.req), now);
		}
	}

	#add(state: RequestState, choice: {destination: AttemptState['destination']; cachedTokens: number; crashSuspectedAtStart: boolean}, now: Millis): AttemptState {
		state.attempts += 1;
		const remaining = remainingRequest(state);
		const attempt: AttemptState = {
			attemptId: toId<AttemptId>(`${state.req.requestId}/${this.#parts.self}/${state.attempts}`),
			requestId: state.req.requestId,
			destination: choice.destination,
			startedAt: now,
			heardAt: this.#awakeClock.step(now),
			promptTokens: remaining.promptTokens,
			cachedTokens: choice.cachedTokens,
			outputTokens: remaining.outputTokens,
			crashSuspectedAtStart: choice.crashSuspectedAtStart,
			leaving: false,
			standby: state.kept !== undefined,
			resume: state.partiallyAnswered,
			tokens: 0,
			bytes: 0,
		};
		state.attempt = attempt;
		state.phase = 'running';
		this.#table.add(attempt);
		return attempt;
	}

	#markLeavingTargets(now: Millis): void {
		for (const view of this.#parts.targets.all(now)) {
			if (view.suspension.leaving) {
				for (const attempt of this.#table.attemptsOnTarget(view.targetId)) {
					attempt.leaving = true;
				}
			}
		}
	}

	#emitStart(
		state: RequestState,
		settings: RouteSettings,
		to: {attempt: AttemptState; address: string; targetId?: TargetId; forwardTo?: NodeInfo['nodeId']},
		now: Millis,
	): void {
		const {attempt, ...destination} = to;
		this.#parts.emit({
			type: 'start-attempt',
			requestId: state.req.requestId,
			attemptId: attempt.attemptId,
			...destination,
			revision: this.#parts.tree().revision,
			claimed: state.claim !== 'none',
			resume: attempt.resume,
			standby: attempt.standby,
			deadlineMs: Math.max(0, state.deadlineAt - now),
			...attemptTimeouts(state, settings, now),
			keepBytes: state.claim === 'held' ? settings.answerKeepBytes : 0,
		});
		this.#log.started(state, attempt, now);
	}

	#emitCancel(state: RequestState, attempt: AttemptState, cause: CancelCause, now: Millis): void {
		this.#parts.emit({type: 'cancel-attempt', attemptId: attempt.attemptId});
		this.#log.cancelled(state, attempt, {reason: cause, overlapMs: this.overlaps.lengthMs(state, now)}, now);
	}

	#finish(state: RequestState, attempt: AttemptState, result: AttemptOutcome['result'], now: Millis): void {
		this.#table.remove(attempt);
		const stoppedForGuard = state.kept?.attempt === attempt && state.kept.stoppedForGuard;
		if (state.kept?.attempt === attempt) {
			state.kept = undefined;
		} else {
			state.attempt = undefined;
			state.phase = 'placing';
			this.overlaps.end(state);
		}

		if (attempt.destination.type === 'peer') {
			return;
		}

		const firstByteMs = attempt.firstByteAt === undefined ? undefined : attempt.firstByteAt - attempt.startedAt;
		if (!stoppedForGuard) {
			this.#parts.poison.attemptStopped(state.req.fingerprint, attempt.destination.targetId, now);
		}

		this.#parts.targets.recordOutcome(attempt.destination.targetId, {
			result,
			promptTokens: attempt.promptTokens,
			cachedTokens: attempt.cachedTokens,
			outputTokens: attempt.tokens,
			predictedOutputTokens: attempt.outputTokens,
			firstByteMs,
			totalMs: now - attempt.startedAt,
		}, now);
	}

	#recordWhetherRun(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): void {
		if (isCertainlyNotRun(failure)) {
			this.#log.notRun(state, attempt, failure, now);
		} else {
			state.mayHaveRun = true;
		}
	}

	/** A connection that breaks after the request was sent may mean a crash: the request becomes a suspect at once. */
	#suspectIfBroken(state: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Millis): void {
		if (isConnectionBroken(failure)) {
			this.suspectCrash(state, attempt, now);
		}
	}

	#recordFailedConnection({destination}: AttemptState, failure: AttemptFailure, now: Millis): void {
		if (failure.reason === 'connect' && destination.type === 'target') {
			this.#parts.targets.recordConnection(destination.targetId, false, now);
		}
	}

	#recordSign(attempt: AttemptState, now: Millis): void {
		attempt.heardAt = this.#awakeClock.step(now);
		if (attempt.destination.type === 'target') {
			this.#parts.targets.recordSign(attempt.destination.targetId, now);
		}
	}

	#countRemoteBytes(bytes: number, region: Region, now: Millis): void {
		if (region === this.#parts.region) {
			return;
		}

		this.#remoteBytes.add(bytes, now);
		this.#parts.outbox.count('away_bytes', region, bytes);
	}
}

/**
 * When to look for a faster target if no byte came; undefined if failing over cannot help. Only a repeatable request
 * that is a service call or streamed qualifies: the first byte of an unstreamed completion comes with the whole answer.
 */
function failoverTime(state: RequestState, {heardAt}: AttemptState, now: Millis): Millis | undefined {
	const early = state.req.kind === 'call' || state.req.streamed;
	if (!state.repeatable || !early || now >= state.deadlineAt) {
		return undefined;
	}

	return heardAt + ((state.deadlineAt - now) * failoverShare) as Millis;
}

function isCertainlyNotRun(failure: AttemptFailure): boolean {
	return failure.notSent || failure.refusal?.ran === 'no';
}
