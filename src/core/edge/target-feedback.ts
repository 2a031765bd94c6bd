import type {ActionQueue} from '../action-queue.ts';
import type {Millis} from '../ids/millis.ts';
import {pauseStatus} from '../targets/pause-status.ts';
import {recordTargetNotice} from '../targets/record-target-notice.ts';
import type {TargetProber} from '../targets/target-prober.ts';
import type {AnswerHead} from './answer-head.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {CrashContainment} from './crash-containment.ts';
import {exceedsCache} from './exceeds-cache.ts';
import type {EdgeAction} from './edge-action.ts';
import type {IdleConnectionPolicy} from './idle-connection-policy.ts';
import type {PooledTarget} from './pooled-target.ts';
import type {RegionSelector} from './region-selector.ts';
import type {RequestRecord} from './request-record.ts';
import type {TargetPool} from './target-pool.ts';

/** Status 421, Misdirected Request: the answer is from another target than the request names, or not vouched for by that target; the request has not run. */
const misdirectedStatus = 421;

/** Status 400, Bad Request: the request lacks what every target needs, which says nothing of the target. */
const malformedStatus = 400;

/** Statuses with which a target says that it has failed a request; 504 is its answer to a deadline that has passed. */
const failureStatuses: ReadonlySet<number> = new Set([500, 501, 502]);

/** Reasons for which an attempt breaks off when its target crashes: the connection was reset, or it ended within the answer. */
const crashReasons: ReadonlySet<string> = new Set<AttemptFailure['reason']>(['reset', 'truncated']);

type TargetFeedbackOptions = {
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly idle: IdleConnectionPolicy;
	readonly containment: CrashContainment;
	readonly prober: TargetProber;
	readonly queue: ActionQueue<EdgeAction>;
};

/** Updates the load and health estimates of targets and other entries from the outcome of attempts; later placements use them. */
export class TargetFeedback {
	readonly #options: TargetFeedbackOptions;

	constructor(options: TargetFeedbackOptions) {
		this.#options = options;
	}

	/** Records the head of an answer, which may carry the target's load, its limit and how many rejections it stands. */
	recordHead(record: RequestRecord, head: AnswerHead, now: Millis): void {
		const {leavingTarget} = head;
		if (record.running?.forwardedTo !== undefined && leavingTarget !== undefined && this.#options.pool.recordLeaving(leavingTarget, now)) {
			this.#options.queue.event('target-leaving', {target: leavingTarget.targetId, born: leavingTarget.born, request: record.req.callerKey});
		}

		const target = this.#targetOf(record);
		if (target === undefined) {
			return;
		}

		const {status, load, hasUnreadableLoad, limitPerSecond, rejectionsPerSecond, signed, notRun} = head;
		this.#recordSuspension(record, target, head, now);
		target.recordSign(now);
		target.breakShare.record(false, now);
		if (!notRun) {
			target.failureShare.record(failureStatuses.has(status), now);
		}

		const ignored = hasUnreadableLoad ? ['unreadable'] : load && target.updateLoad(load, now);
		for (const figure of ignored ?? []) {
			this.#options.queue.count('ignored_load_figures', figure);
		}

		// An answer that the target does not vouch for proves nothing about the end of a limit.
		const ownAnswer = signed || notRun;
		if ((limitPerSecond !== undefined || ownAnswer) && target.updateLimit(limitPerSecond, record.running!.sentAt, now)) {
			this.#options.queue.event('target-limit', {target: target.listed.targetId, perSecond: limitPerSecond, request: record.req.callerKey});
		}

		if ((rejectionsPerSecond !== undefined || ownAnswer) && target.updateRejections(rejectionsPerSecond, record.running!.sentAt, now)) {
			if (rejectionsPerSecond !== undefined) {
				this.#options.pool.assumeBrittle(target.listed.service, rejectionsPerSecond, now);
			}

			this.#options.queue.event('target-brittle', {target: target.listed.targetId, rejectionsPerSecond, request: record.req.callerKey});
		}
	}

	/** Records that the head of a call's answer arrived; the time until then is taken as the duration of the call. */
	recordCall(record: RequestRecord, now: Millis): void {
		const {attempt, sentAt} = record.running!;
		const target = this.#targetOf(record);
		target?.recordStart(attempt, now);
		target?.recordCall(now - sentAt, now);
	}

	/** Records new events of a stream; to be called before they are added to `running.events`. */
	recordEvents(record: RequestRecord, count: number, now: Millis): void {
		const {running, table, service} = record;
		const target = this.#targetOf(record);
		target?.recordSign(now);
		if (running!.events === 0) {
			target?.recordStart(running!.attempt, now);
		} else {
			target?.recordProgress(running!.attempt, {events: count, tokens: count * (table.service(service)?.engine?.tokensPerEvent ?? 1)}, now);
		}
	}

	/** Records that an answer was read to its end; the length of a stream that this attempt brought whole, unless its caller took it up, tells how far off the announced lengths are. */
	recordEnd({req: {prompt, resumeAfter}, running, passedEvents, table, service, route}: RequestRecord): void {
		const isWhole = running?.head?.eventStream === true && running.events === passedEvents && resumeAfter === undefined;
		if (prompt !== undefined && route.kind === 'stream' && isWhole && running.targetId !== undefined) {
			this.#options.pool.costs.of(service).recordOutput(prompt, running.events * (table.service(service)?.engine?.tokensPerEvent ?? 1));
		}
	}

	/** Records that the target or entry states that it has not run the request. */
	recordNotRun(record: RequestRecord, {status}: AnswerHead, now: Millis): void {
		const target = this.#targetOf(record);
		if (status === misdirectedStatus) {
			target?.suspend(now);
		} else {
			if (!exceedsCache(record)) {
				target?.markFull(now);
			}

			target?.recordRejection(this.#options.regions.limitEntries(record.req.prompt !== undefined), now);
		}

		this.#avoidEntry(record, now);
	}

	/** Records that the attempt's connection failed, or that its answer was invalid or belonged to another request. */
	recordFailure(record: RequestRecord, {reason, notSent}: AttemptFailure, now: Millis): void {
		const target = this.#targetOf(record);
		if (target !== undefined && !notSent && crashReasons.has(reason)) {
			this.#options.containment.recordBreak(record.req, target, now);
		}

		if (reason === 'connect' || crashReasons.has(reason)) {
			target?.doubtIncarnation();
		}

		if (target !== undefined && reason === 'connect') {
			this.#options.prober.recordConnection(target.listed.targetId, false, now);
		} else if (target !== undefined && reason !== 'foreign-answer') {
			target.breakShare.record(true, now);
			if (this.#options.pool.isOutlier(target, now)) {
				target.suspend(now, {mayServe: true});
			}
		}

		if (reason === 'reset' && record.running?.targetId !== undefined && record.running.head === undefined) {
			this.#options.idle.recordReset(record.service, now);
		}

		this.#avoidEntry(record, now);
	}

	/** Records that the attempt stalled. */
	recordStall(record: RequestRecord, now: Millis): void {
		this.#targetOf(record)?.suspend(now);
		this.#avoidEntry(record, now);
	}

	/** True if the head guarantees that the request has not run, and another target may run it. */
	isNotRun({notRun, status}: AnswerHead): boolean {
		return (notRun && status !== malformedStatus) || status === misdirectedStatus;
	}

	/** Records what the answer says of the target's wish for requests; one of an earlier incarnation, or of another target at its address, says nothing of it. */
	#recordSuspension({req, running}: RequestRecord, target: PooledTarget, {status, leaving, retryAfterMs, unreadableHeaders}: AnswerHead, now: Millis): void {
		const {queue} = this.#options;
		const {listed: {targetId, born}, suspension} = target;
		if (status === misdirectedStatus || running?.targetBorn !== born) {
			return;
		}

		const notice = {leaving: leaving ?? false, pauseMs: status === pauseStatus ? retryAfterMs : undefined, unreadableHeaders};
		recordTargetNotice(suspension, notice, {source: {targetId, incarnation: born, request: req.callerKey}, outbox: queue}, now);
	}

	#targetOf({running}: RequestRecord): PooledTarget | undefined {
		return running?.targetId === undefined ? undefined : this.#options.pool.get(running.targetId);
	}

	#avoidEntry({running, service}: RequestRecord, now: Millis): void {
		if (running?.forwardedTo !== undefined) {
			this.#options.regions.avoidEntry(running.forwardedTo.address, service, now);
		}
	}
}
