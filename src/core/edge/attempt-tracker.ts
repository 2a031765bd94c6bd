import type {ActionQueue} from '../action-queue.ts';
import type {AwakeClock} from '../common/awake-clock.ts';
import {overlapLimitMs} from '../common/overlap-limit-ms.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {AnswerHead} from './answer-head.ts';
import {AttemptLog} from './attempt-log.ts';
import type {CancelReason} from './cancel-reason.ts';
import {describeFailedAttempt} from './describe-failed-attempt.ts';
import {destinationOf} from './destination-of.ts';
import {exceedsCache} from './exceeds-cache.ts';
import type {EdgeAction} from './edge-action.ts';
import type {IdleConnectionPolicy} from './idle-connection-policy.ts';
import {isIdempotent} from './is-idempotent.ts';
import {overlapHops} from './overlap-hops.ts';
import {overlapStart} from './overlap-start.ts';
import type {PlacementCandidate} from './placement-candidate.ts';
import type {RegionSelector} from './region-selector.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';
import type {RequestRecord} from './request-record.ts';
import type {TargetPool} from './target-pool.ts';

/** Time after a tick from which on what is read may have lain unread since then, in milliseconds: two ticks. */
const lateTickMs = 100;

/** Least urgent priority that engines accept. */
const lowestUrgency = 9;

type AttemptTrackerOptions = {
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly budget: WindowedRetryBudget;
	readonly idle: IdleConnectionPolicy;
	readonly clock: AwakeClock;
	/** Routes in force. */
	readonly table: () => RouteTable | undefined;
	readonly queue: ActionQueue<EdgeAction>;
};

type RunningAttempt = NonNullable<RequestRecord['running']>;

type Destination = Pick<EdgeAction & {type: 'start'}, 'attempt' | 'address' | 'targetId' | 'targetBorn'>;

/** Starts attempts and tracks those in progress, with their load on targets and remote regions. */
export class AttemptTracker {
	readonly #options: AttemptTrackerOptions;
	readonly #records = new Map<AttemptNumber, RequestRecord>();
	readonly #log: AttemptLog;
	#lastAttempt = 0;
	#lastTickAt = 0 as Millis;
	/** Time up to which all that targets sent has been read. */
	#readUntil = 0 as Millis;
	/** Time since which what is read before the next tick may have lain unread, if the last tick was late. */
	#unreadSince: Millis | undefined;

	constructor(options: AttemptTrackerOptions) {
		this.#options = options;
		this.#log = new AttemptLog(options.queue);
	}

	/** The request of an attempt in progress; the attempt becomes the request's current one. */
	select(attempt: AttemptNumber): RequestRecord | undefined {
		const record = this.#records.get(attempt);
		const index = record?.kept.findIndex(kept => kept.attempt === attempt) ?? -1;
		if (record?.running !== undefined && index !== -1) {
			[record.running] = record.kept.splice(index, 1, record.running);
		}

		return record;
	}

	send(record: RequestRecord, {target, startMs, uncachedTokens, aheadTokens, kvCacheTokens}: PlacementCandidate, now: Millis): void {
		const {req: {prompt}, service, table} = record;
		const {targetId, address, born, softwareVersion} = target.listed;
		this.#options.budget.countRequest(record, now);
		const attempt = this.#register(record);
		target.recordSend(this.#options.regions.limitEntries(prompt !== undefined), now);
		target.attempts.set(attempt, {
			sentAt: now, predictedMs: startMs, uncachedTokens, aheadTokens, kvCacheTokens, outputTokens: prompt === undefined ? 0 : target.costs.outputTokens(prompt),
		});
		if (prompt !== undefined && !exceedsCache(record)) {
			target.costs.promptTokens.add(prompt.promptTokens);
			target.costs.kvCacheTokens.add(kvCacheTokens);
			target.prefixCache.recordUse(prompt, table.service(service)?.engine?.cacheTokens ?? 0);
		}

		record.running = {
			attempt, sentAt: now, targetId, targetBorn: born, softwareVersion, predictedMs: startMs, lastProgressAt: now, lastProgressAwakeAt: this.#options.clock.now, events: 0,
		};
		this.#start(record, {
			attempt, address, targetId, targetBorn: born,
		}, now);
	}

	forward(record: RequestRecord, {region, address, startMs}: {region: Region; address: string; startMs: number}, now: Millis): void {
		const attempt = this.#register(record);
		record.forwardCount += 1;
		this.#options.regions.recordSent({region, service: record.service, prompt: record.req.prompt}, now);
		this.#options.queue.count('away', region);
		record.running = {
			attempt, sentAt: now, forwardedTo: {region, address}, predictedMs: startMs, lastProgressAt: now, lastProgressAwakeAt: this.#options.clock.now, events: 0,
		};
		this.#start(record, {attempt, address}, now);
	}

	/** Records that the head or new events of a request's attempt have arrived. */
	recordProgress({running}: RequestRecord, now: Millis): void {
		if (running !== undefined) {
			running.lastProgressAt = now;
			running.lastProgressAwakeAt = this.#options.clock.now;
		}
	}

	/** Records that an answer is not read on until its caller takes more of it, or is read on again. */
	recordHeld(attempt: AttemptNumber, held: boolean, now: Millis): void {
		const record = this.select(attempt);
		if (record?.running !== undefined) {
			record.running.isHeld = held;
			this.recordProgress(record, now);
		}
	}

	/** Records that a request's attempt gave no usable answer, though it may have run. */
	recordFailed(record: RequestRecord, reason: string, now: Millis): void {
		const {clock, queue} = this.#options;
		recordRun(record, record.running!);
		record.lastFailure = reason;
		record.resendReason = reason;
		queue.count('attempt_failures', reason);
		queue.event('attempt-failed', describeFailedAttempt(record, reason, clock, now));
	}

	/** Records that another entry refused a request: the attempt counts if it reached a target there, so that the next one is a retry. */
	recordRefusedForward(record: RequestRecord, {reachedTarget = false}: AnswerHead, now: Millis): void {
		if (reachedTarget) {
			this.#options.budget.countRequest(record, now);
		} else {
			this.recordUnsent(record);
		}
	}

	/** Records that a request's attempt has reached no target. If it was a retry, the next one uses its charge to the retry budget. */
	recordUnsent(record: RequestRecord): void {
		record.sends -= 1;
		record.retryReserved = record.sends > 0;
	}

	/** Keeps the current attempt of a stalled request beside the next one, which it may still outrun. */
	keep(record: RequestRecord): void {
		if (record.running !== undefined) {
			record.kept.push(record.running);
			record.running = undefined;
		}
	}

	/** To be called with each tick, before `endOverlap`. */
	tick(now: Millis): void {
		// Timers run before sockets are read: after a standstill, what came since the tick before is unread.
		this.#readUntil = this.#options.clock.stoodStill ? this.#lastTickAt : now;
		this.#unreadSince = now - this.#lastTickAt > lateTickMs ? this.#lastTickAt : undefined;
		this.#lastTickAt = now;
	}

	/** Records the first sign that the target of a request's attempt works on it; what is read beside a late tick may be as old as the tick before. */
	recordWorking({running}: RequestRecord, now: Millis): void {
		if (running !== undefined) {
			const unreadSince = now - this.#lastTickAt > lateTickMs ? this.#lastTickAt : this.#unreadSince;
			running.workingSince ??= Math.max(running.sentAt, unreadSince ?? now) as Millis;
		}
	}

	/** Leaves a request with the attempt that was seen to work last, if another one was at work beside it for as long as is allowed. */
	endOverlap(record: RequestRecord, now: Millis): void {
		const since = overlapStart(record);
		if (since === undefined) {
			return;
		}

		const [last] = [record.running!, ...record.kept].toSorted((left, right) => (right.workingSince ?? 0) - (left.workingSince ?? 0));
		this.select(last!.attempt);
		if (this.#readUntil - since >= overlapLimitMs(overlapHops(record))) {
			this.cancelKept(record, now, 'overlap-limit');
		}
	}

	/** Aborts the attempts of a request that were kept. They may have run. `reason`: by default the current one has answered. */
	cancelKept(record: RequestRecord, now: Millis, reason?: CancelReason): void {
		for (const kept of record.kept.splice(0)) {
			recordRun(record, kept);
			const isLater = (record.running?.attempt ?? 0) > kept.attempt;
			this.#log.cancelled(record, kept, {reason: reason ?? (isLater ? 'taken-over' : 'outrun'), other: record.running}, now);
			this.#cancel(kept);
		}
	}

	/** Aborts all attempts of a request. */
	cancelAll(record: RequestRecord, reason: CancelReason, now: Millis): void {
		this.cancelKept(record, now, reason);
		if (record.running !== undefined) {
			this.#log.cancelled(record, record.running, {reason}, now);
			this.#cancel(record.running);
			record.running = undefined;
		}
	}

	/** Stops tracking a request's current attempt; one that was kept takes its place. */
	release(record: RequestRecord): void {
		if (record.running !== undefined) {
			this.#forget(record.running);
			record.running = record.kept.pop();
		}
	}

	#cancel(running: RunningAttempt): void {
		this.#options.queue.push({type: 'cancel', attempt: running.attempt});
		this.#forget(running);
	}

	/** Frees the load of an attempt at its target; later events of it are ignored. */
	#forget({attempt, targetId}: RunningAttempt): void {
		this.#records.delete(attempt);
		if (targetId !== undefined) {
			this.#options.pool.get(targetId)?.attempts.delete(attempt);
		}
	}

	#start(record: RequestRecord, destination: Destination, now: Millis): void {
		const {req, route, service, table, lastEventId, running, origin: {softwareVersion} = {}} = record;
		record.sends += 1;
		record.retryReserved = false;
		record.isTrial = false;
		this.#log.started(record, now);
		if (lastEventId !== undefined) {
			this.#options.queue.event('stream-resumed', {
				request: req.callerKey, resumes: req.resumes, after: lastEventId, target: destinationOf(record), softwareVersion: running?.softwareVersion,
			});
		}

		this.#options.queue.push({
			type: 'start',
			...destination,
			requestId: req.requestId,
			deadlineMs: Math.max(1, Math.floor(record.deadlineAt - now)),
			urgency: Math.min(lowestUrgency, (record.priority * 2) + 1),
			fresh: this.#options.idle.needsFreshConnection(route, service, now),
			stream: route.kind === 'stream',
			resumeAfter: lastEventId,
			service,
			origin: softwareVersion === undefined ? undefined : {service, softwareVersion},
			documentVersion: table.version,
			// An entry sends what another one forwarded to one target at most, so only that one might send it again.
			isIdempotent: req.forwarded === undefined ? isIdempotent(route) : req.forwarded.isIdempotent,
			organisation: req.organisation,
			passesCredentials: req.organisation === undefined && table.organisations.isEmpty && this.#options.table()?.organisations.isEmpty !== false,
		});
	}

	#register(record: RequestRecord): AttemptNumber {
		this.#lastAttempt += 1;
		const attempt = this.#lastAttempt as AttemptNumber;
		this.#records.set(attempt, record);
		return attempt;
	}
}

/** Records that an attempt may have run: it counts towards the route's attempts, and its target is not tried again. */
function recordRun(record: RequestRecord, {attempt, targetId}: RunningAttempt): void {
	record.mayHaveRun = true;
	if (targetId === undefined) {
		record.forwardedRuns.add(attempt);
	} else {
		record.mayHaveRunOn.add(targetId);
		record.excludedTargets.add(targetId);
	}
}
