import type {ActionQueue} from '../action-queue.ts';
import {PlacementPacer} from '../admission/placement-pacer.ts';
import type {AwakeClock} from '../common/awake-clock.ts';
import type {Random} from '../common/random.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {StateMemory} from '../memory/state-memory.ts';
import type {QuotaGate} from '../organisations/quota/quota-gate.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {TargetProber} from '../targets/target-prober.ts';
import type {AnswerHead} from './answer-head.ts';
import {AttemptTracker} from './attempt-tracker.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import {earlyRefusalReason} from './early-refusal-reason.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';
import {describeCallerGone} from './describe-caller-gone.ts';
import {createRequestRecord} from './create-request-record.ts';
import {RequestCompletion} from './request-completion.ts';
import {identifyCaller} from './identify-caller.ts';
import {IdleConnectionPolicy} from './idle-connection-policy.ts';
import {destinationOf} from './destination-of.ts';
import type {CrashContainment} from './crash-containment.ts';
import {isSuccess} from './is-success.ts';
import type {PlacementPolicy} from './placement-policy.ts';
import {QuotaCharges} from './quota-charges.ts';
import {RecentRefusals} from './recent-refusals.ts';
import type {RegionSelector} from './region-selector.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';
import {softwareVersionOf} from './software-version-of.ts';
import {RetryPolicy} from './retry-policy.ts';
import {RequestPlacer} from './request-placer.ts';
import type {RequestRecord} from './request-record.ts';
import type {StartupWait} from './startup-wait.ts';
import {TargetFeedback} from './target-feedback.ts';
import {StopDeadline} from './stop-deadline.ts';
import type {StreamOrigins} from './stream-origins.ts';
import type {TargetPool} from './target-pool.ts';
import type {WaitQueue} from './wait-queue.ts';

type RequestHandlerOptions = {
	readonly placement: PlacementPolicy;
	readonly table: () => RouteTable | undefined;
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly waiting: WaitQueue;
	readonly origins: StreamOrigins;
	readonly containment: CrashContainment;
	/** Owner of what is kept for callers. */
	readonly state: StateMemory;
	readonly prober: TargetProber;
	readonly startup: StartupWait;
	/** True if a newer document may have been accepted that this entry does not have. */
	readonly mayBeBehind: (now: Millis) => boolean;
	readonly budget: WindowedRetryBudget;
	/** Undefined if quotas are not enforced. */
	readonly quotas: QuotaGate | undefined;
	readonly clock: AwakeClock;
	readonly random: Random;
	readonly queue: ActionQueue<EdgeAction>;
};

/** Handles the requests of one entry from their arrival to their final answer: what callers, targets and the clock do to them. */
export class RequestHandler {
	readonly #options: RequestHandlerOptions;
	readonly #records = new Map<RequestId, RequestRecord>();
	/** Requests that came before the routes. */
	readonly #withoutRoutes = new Map<RequestId, EdgeRequest>();
	readonly #attempts: AttemptTracker;
	readonly #completion: RequestCompletion;
	readonly #retryPolicy: RetryPolicy;
	readonly #placer: RequestPlacer;
	readonly #feedback: TargetFeedback;
	readonly #pacer = new PlacementPacer();
	readonly #refusals: RecentRefusals;
	readonly #stopDeadline = new StopDeadline();
	readonly #quotas: QuotaCharges;
	#closed = false;
	#capacityChanged = false;

	constructor(options: RequestHandlerOptions) {
		this.#options = options;
		this.#quotas = new QuotaCharges(options.quotas);
		this.#refusals = new RecentRefusals(options.state.budget('refusals'));
		const idle = new IdleConnectionPolicy();
		this.#attempts = new AttemptTracker({...options, idle});
		this.#completion = new RequestCompletion(options);
		this.#retryPolicy = new RetryPolicy(options);
		this.#feedback = new TargetFeedback({...options, idle});
		this.#placer = new RequestPlacer({
			...options,
			attempts: this.#attempts,
			retryPolicy: this.#retryPolicy,
			refuse: (record, reason, now) => {
				this.#refuse(record, reason, now);
			},
		});
	}

	get inFlight(): number {
		return this.#records.size + this.#withoutRoutes.size;
	}

	/** True once new requests are refused. */
	get closed(): boolean {
		return this.#closed;
	}

	/** Sets the time by which all requests, also those still to come, must have their final answers, since the entry stops. */
	setStopDeadline(at: Millis): void {
		this.#stopDeadline.set(at);
		for (const record of this.#records.values()) {
			this.#stopDeadline.apply(record);
		}

		this.#capacityChanged = true;
	}

	/** Refuses new requests from now on, and those that wait though other entries have more time for them; the others in flight go on. */
	stopAccepting(now: Millis): void {
		this.#closed = true;
		this.#refuseLeavers(now);
	}

	handleRequest(req: EdgeRequest, now: Millis): void {
		const table = this.#options.table();
		const refusalReason = earlyRefusalReason(req, {table, closed: this.#closed});
		if (refusalReason === 'not-configured' && !this.#closed && this.#options.startup.mayWaitForRoutes(req, now)) {
			this.#withoutRoutes.set(req.requestId, req);
			return;
		}

		if (refusalReason !== undefined) {
			this.#completion.refuseEarly(req, refusalReason, table?.version);
			return;
		}

		const route = table!.match(req.host, req.path)!;
		const identity = identifyCaller(req, {route, table: table!, mayBeBehind: this.#options.mayBeBehind(now)});
		if ('refusal' in identity) {
			this.#completion.refuseEarly(req, identity.refusal, table!.version);
			return;
		}

		if (this.#mustNotBegin(req, route)) {
			this.#options.queue.count('clients_turned_away', 'too-many-streams');
			this.#completion.refuseEarly(req, 'overloaded', table!.version);
			return;
		}

		const record = createRequestRecord({...req, organisation: identity.organisation}, route, table!);
		this.#completion.countOrganisation('requests', record.req);
		this.#stopDeadline.apply(record);
		this.#refusals.exclude(record, now);
		this.#records.set(req.requestId, record);
		if (!route.split.some(({service}) => service === record.service)) {
			// Another entry chose the service, under a document that this one has replaced since.
			this.#refuse(record, 'outdated', now);
			return;
		}

		if (!this.#quotas.charge(record, now)) {
			this.#refuse(record, 'quota', now);
			return;
		}

		const mustLocate = route.kind === 'stream' && req.resumeAfter !== undefined && record.origin === undefined;
		if (!mustLocate) {
			this.#placer.place(record, now);
			return;
		}

		this.#options.origins.locate(record, (refusal, locatedAt) => {
			if (refusal === undefined) {
				this.#placer.place(record, locatedAt);
			} else {
				this.#refuse(record, refusal, locatedAt);
			}
		}, now);
	}

	/** Handles the requests that came before the routes. */
	handleWaitingForRoutes(now: Millis): void {
		const waiting = [...this.#withoutRoutes.values()];
		this.#withoutRoutes.clear();
		for (const req of waiting) {
			this.handleRequest(req, now);
		}
	}

	handleCallerGone(requestId: RequestId, now: Millis): void {
		this.#withoutRoutes.delete(requestId);
		const record = this.#records.get(requestId);
		if (record === undefined) {
			return;
		}

		this.#options.queue.event('caller-gone', describeCallerGone(record, now));
		if (!record.mayHaveRun && record.running === undefined && record.kept.length === 0) {
			this.#quotas.refund(record, now);
		}

		this.#cancelAttempts(record);
		this.#forget(record);
	}

	handleHead(attempt: AttemptNumber, head: AnswerHead, now: Millis): void {
		const record = this.#attempts.select(attempt);
		const running = record?.running;
		if (record === undefined || running === undefined) {
			return;
		}

		running.head = head;
		this.#attempts.recordProgress(record, now);
		this.#feedback.recordHead(record, head, now);
		if (this.#feedback.isNotRun(head)) {
			this.#handleNotRun(record, head, now);
			return;
		}

		if (!isSuccess(head.status)) {
			this.#handleErrorStatus(record, head, now);
			return;
		}

		if (!head.signed) {
			this.#options.queue.push({type: 'cancel', attempt});
			this.#handleAttemptFailure(record, 'unsigned answer', now);
			return;
		}

		if (record.headPassed && !(head.status === 200 && head.eventStream)) {
			// Its body is not the rest of the stream, and its end must not end the stream as complete.
			this.#options.queue.push({type: 'cancel', attempt});
			this.#handleAttemptFailure(record, 'no stream', now);
			return;
		}

		// One that was forwarded counts towards the retry budget only now, since the other entry may refuse it before a target gets it.
		this.#options.budget.countRequest(record, now);
		if (record.route.kind === 'stream' && head.eventStream) {
			if (!record.headPassed) {
				this.#attempts.cancelKept(record);
			}

			record.headPassed = true;
			this.#options.queue.push({
				type: 'pass', requestId: record.req.requestId, attempt, softwareVersion: softwareVersionOf(running),
			});
			return;
		}

		this.#feedback.recordCall(record, now);
	}

	handleEvents(attempt: AttemptNumber, {count, lastId}: {count: number; lastId?: string}, now: Millis): void {
		const record = this.#attempts.select(attempt);
		const running = record?.running;
		if (record === undefined || running === undefined) {
			return;
		}

		this.#feedback.recordEvents(record, count, now);
		// The first event shows that the prefill has ended, which shortens the predicted start of waiting requests.
		this.#capacityChanged ||= running.events === 0;
		if (count > 0) {
			this.#attempts.cancelKept(record);
			this.#options.origins.recordFirstEvent(record, now);
		}

		running.events += count;
		record.passedEvents += count;
		this.#attempts.recordProgress(record, now);
		record.lastEventId = lastId ?? record.lastEventId;
	}

	handleHeld(attempt: AttemptNumber, held: boolean, now: Millis): void {
		this.#attempts.recordHeld(attempt, held, now);
	}

	/** Completes a request, unless its answer was broken off: by its bytes, or, if its connection alone ended it, before the first event. */
	handleEnd(attempt: AttemptNumber, {truncated}: {truncated: boolean}, now: Millis): void {
		const record = this.#attempts.select(attempt);
		if (record === undefined) {
			return;
		}

		const {running, headPassed} = record;
		const isEmpty = headPassed && running?.head?.unframed === true && running.events === 0;
		if (truncated || isEmpty) {
			this.handleFailure(attempt, {reason: 'truncated', notSent: false}, now);
			return;
		}

		this.#attempts.cancelKept(record);
		this.#feedback.recordEnd(record);
		this.#completion.complete(record, attempt, now);
		this.#releaseAttempt(record);
		this.#forget(record);
	}

	handleFailure(attempt: AttemptNumber, failure: AttemptFailure, now: Millis): void {
		const record = this.#attempts.select(attempt);
		if (record?.running === undefined) {
			return;
		}

		this.#feedback.recordFailure(record, failure, now);
		if (failure.notSent) {
			this.#options.queue.event('attempt-not-sent', {request: record.req.callerKey, target: destinationOf(record), reason: failure.reason});
			this.#attempts.recordUnsent(record);
			this.#placeUnlessKept(record, now);
			return;
		}

		this.#handleAttemptFailure(record, failure.reason, now);
	}

	tick(now: Millis): void {
		// Those that have waited long enough are refused.
		this.handleWaitingForRoutes(now);
		this.#refuseLeavers(now);
		for (const record of this.#records.values()) {
			if (now >= record.deadlineAt && !this.#options.clock.stoodStill) {
				this.#expire(record, now);
			} else {
				this.#checkStall(record, now);
			}
		}

		this.#capacityChanged = true;
	}

	/** Places waiting requests if capacity may have been freed since the last pass, as often as the pacer allows. */
	placeWaitingRequests(now: Millis): void {
		if (!this.#capacityChanged || !this.#pacer.mayPass(now)) {
			return;
		}

		this.#capacityChanged = false;
		this.#placer.placeWaiting(now);
		this.#pacer.recordPass(now, {leftWaiting: !this.#options.waiting.isEmpty});
	}

	/** Handles a status other than 2xx: discards the answer if the caller already has the head of an earlier one, or if the status is 5xx and the request may be retried or another attempt is in progress. Otherwise the answer is read on and passed to the caller. */
	#handleErrorStatus(record: RequestRecord, {status}: AnswerHead, now: Millis): void {
		const mayAnswerElsewhere = record.kept.length > 0 || this.#retryPolicy.mayRetryAnswer(record, now);
		if (record.headPassed || (status >= 500 && mayAnswerElsewhere)) {
			this.#options.queue.push({type: 'cancel', attempt: record.running!.attempt});
			this.#handleAttemptFailure(record, `status ${status}`, now);
		}
	}

	/** Places a request again whose target or entry guarantees that it has not run. */
	#handleNotRun(record: RequestRecord, head: AnswerHead, now: Millis): void {
		const {running} = record;
		this.#options.queue.event('attempt-not-run', {
			request: record.req.callerKey, target: destinationOf(record), status: head.status, retryAfterMs: head.retryAfterMs, leaving: head.leaving,
		});
		this.#feedback.recordNotRun(record, head, now);
		if (running?.targetId === undefined) {
			this.#attempts.recordRefusedForward(record, head, now);
			record.retryAfterMs = head.retryAfterMs ?? record.retryAfterMs;
		} else {
			// The pause that the target asks for is one of many that the placement weighs, if this request has to come back.
			record.excludedTargets.add(running.targetId);
			this.#refusals.record(record.req.callerKey, running.targetId, now);
		}

		this.#placeUnlessKept(record, now);
	}

	/** Handles an attempt that may have run but gave no usable answer: retries the request if that is allowed, else refuses it. */
	#handleAttemptFailure(record: RequestRecord, reason: string, now: Millis): void {
		this.#attempts.recordFailed(record, reason, now);
		this.#placeUnlessKept(record, now);
	}

	/** Ends the current attempt without an answer. The request goes on with an attempt that was kept, or is placed again. */
	#placeUnlessKept(record: RequestRecord, now: Millis): void {
		this.#releaseAttempt(record);
		if (record.running === undefined) {
			this.#placer.place(record, now);
		}
	}

	#checkStall(record: RequestRecord, now: Millis): void {
		if (!this.#retryPolicy.isStalled(record, now)) {
			return;
		}

		this.#placer.placeStalled(record, () => {
			this.#feedback.recordStall(record, now);
			this.#attempts.recordFailed(record, 'stalled', now);
		}, now);
	}

	#refuseLeavers(now: Millis): void {
		for (const record of this.#closed ? this.#stopDeadline.leavers(this.#options.waiting) : []) {
			this.#refuse(record, 'overloaded', now);
		}
	}

	#expire(record: RequestRecord, now: Millis): void {
		record.mayHaveRun ||= record.running !== undefined;
		this.#cancelAttempts(record);
		this.#refuse(record, record.mayHaveRun ? 'timeout' : 'overloaded', now);
	}

	#refuse(record: RequestRecord, reason: EdgeRefusal['reason'], now: Millis): void {
		if (!record.mayHaveRun) {
			this.#quotas.refund(record, now);
		}

		this.#completion.refuse(record, reason, now);
		this.#forget(record);
	}

	/** True for a stream that could not be taken up later, since there is no memory left for where it began; another entry that forwards it keeps that itself. */
	#mustNotBegin({callerKey, resumeAfter, forwarded}: EdgeRequest, {kind}: RouteRule): boolean {
		return kind === 'stream' && callerKey !== '' && resumeAfter === undefined && forwarded === undefined && this.#options.origins.isFull;
	}

	#releaseAttempt(record: RequestRecord): void {
		if (record.running !== undefined) {
			this.#attempts.release(record);
			this.#capacityChanged = true;
		}
	}

	#cancelAttempts(record: RequestRecord): void {
		this.#capacityChanged ||= record.running !== undefined;
		this.#attempts.cancelAll(record);
	}

	#forget(record: RequestRecord): void {
		this.#options.waiting.remove(record);
		this.#options.origins.cancel(record.req.requestId);
		this.#options.containment.trials.end(record.req.requestId, record.isTrial);
		this.#records.delete(record.req.requestId);
	}
}
