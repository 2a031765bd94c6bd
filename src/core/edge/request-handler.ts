import type {ActionQueue} from '../action-queue.ts';
import {PlacementPacer} from '../admission/placement-pacer.ts';
import type {AwakeClock} from '../common/awake-clock.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {QuotaGate} from '../organisations/quota/quota-gate.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {TargetProber} from '../targets/target-prober.ts';
import {AnswerHandler} from './answer-handler.ts';
import {AttemptTracker} from './attempt-tracker.ts';
import type {CancelReason} from './cancel-reason.ts';
import {earlyRefusalReason} from './early-refusal-reason.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';
import {describeCallerGone} from './describe-caller-gone.ts';
import {createRequestRecord} from './create-request-record.ts';
import {RequestCompletion} from './request-completion.ts';
import {identifyCaller} from './identify-caller.ts';
import {IdleConnectionPolicy} from './idle-connection-policy.ts';
import type {CrashContainment} from './crash-containment.ts';
import type {PlacementPolicy} from './placement-policy.ts';
import {QuotaCharges} from './quota-charges.ts';
import type {RegionSelector} from './region-selector.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';
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

/** Handles the requests of one entry from their arrival to their final answer: what callers and the clock do to them, and, in `answers`, what targets do. */
export class RequestHandler {
	/** Handles the answers to attempts. */
	readonly answers: AnswerHandler;
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
	readonly #stopDeadline = new StopDeadline();
	readonly #quotas: QuotaCharges;
	#closed = false;
	#capacityChanged = false;

	constructor(options: RequestHandlerOptions) {
		this.#options = options;
		this.#quotas = new QuotaCharges(options.quotas);
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
		this.answers = new AnswerHandler({
			...options,
			attempts: this.#attempts,
			feedback: this.#feedback,
			retryPolicy: this.#retryPolicy,
			placer: this.#placer,
			completion: this.#completion,
			onCapacity: () => {
				this.#capacityChanged = true;
			},
			onComplete: record => {
				this.#forget(record);
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

		this.#cancelAttempts(record, 'caller-gone', now);
		this.#forget(record);
	}

	tick(now: Millis): void {
		// Those that have waited long enough are refused.
		this.handleWaitingForRoutes(now);
		this.#refuseLeavers(now);
		this.#attempts.tick(now);
		for (const record of this.#records.values()) {
			if (now >= record.deadlineAt && !this.#options.clock.stoodStill) {
				this.#expire(record, 'deadline', now);
			} else {
				this.#attempts.endOverlap(record, now);
				this.#checkStall(record, now);
			}
		}

		this.#capacityChanged = true;
	}

	/** Gives each request that is left its final answer. */
	end(now: Millis): void {
		for (const record of this.#records.values()) {
			this.#expire(record, 'stop', now);
		}
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

	#expire(record: RequestRecord, reason: CancelReason, now: Millis): void {
		record.mayHaveRun ||= record.running !== undefined;
		this.#cancelAttempts(record, reason, now);
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

	#cancelAttempts(record: RequestRecord, reason: CancelReason, now: Millis): void {
		this.#capacityChanged ||= record.running !== undefined;
		this.#attempts.cancelAll(record, reason, now);
	}

	#forget(record: RequestRecord): void {
		this.#options.waiting.remove(record);
		this.#options.origins.cancel(record.req.requestId);
		this.#options.containment.trials.end(record.req.requestId, record.isTrial);
		this.#records.delete(record.req.requestId);
	}
}
