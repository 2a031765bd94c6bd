import type {ActionQueue} from '../action-queue.ts';
import type {AdmissionControl} from '../admission/admission-control.ts';
import type {QueuedRequest} from '../admission/queued-request.ts';
import type {WaitingRequests} from '../admission/waiting-requests.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {ServiceName} from '../ids/service-name.ts';
import {asIfFailed} from './as-if-failed.ts';
import type {AttemptTracker} from './attempt-tracker.ts';
import type {CrashContainment} from './crash-containment.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {PlacementPolicy} from './placement-policy.ts';
import {queueKey} from './queue-key.ts';
import type {RegionSelector} from './region-selector.ts';
import type {RequestRecord} from './request-record.ts';
import type {RetryPolicy} from './retry-policy.ts';
import {workOf} from './work-of.ts';

/** Most requests of each service that a pass compares with all targets: entries have a quarter of a processor core. */
const maxDecisionsPerPass = 32;
/** Requests that may be placed before one that was there earlier but does not fit yet, such as a large one that waits for memory; then the room is reserved for it. */
const maxBypasses = 8;
/** Longest time for which room is reserved for one request, in milliseconds: other room may stay unused meanwhile. */
const maxReservationMs = 300;

type Decision = ReturnType<PlacementPolicy['decide']>;
/** A decision by which a request is sent somewhere. */
type Destination = Extract<Decision, {type: 'target' | 'away'}>;
type Queued = QueuedRequest<RequestRecord>;

type RequestPlacerOptions = {
	readonly placement: PlacementPolicy;
	readonly waiting: WaitingRequests<RequestRecord>;
	readonly admission: AdmissionControl;
	readonly regions: RegionSelector;
	readonly containment: CrashContainment;
	readonly attempts: AttemptTracker;
	readonly queue: ActionQueue<EdgeAction>;
	readonly retryPolicy: RetryPolicy;
	/** Has a pass over the waiting requests made soon. */
	readonly requestPass: () => void;
	/** Gives a request its final refusal. */
	readonly refuse: (record: RequestRecord, reason: EdgeRefusal['reason'], now: Millis) => void;
};

/** Carries out the placement of requests that have no attempt in progress: new ones, retries and those that wait. */
export class RequestPlacer {
	readonly #options: RequestPlacerOptions;

	constructor(options: RequestPlacerOptions) {
		this.#options = options;
	}

	/** Sends a request to the best destination, queues it or refuses it. A retry has to fit the retry budget first. */
	place(record: RequestRecord, now: Millis): void {
		const contained = this.#containedTraits(record);
		if (contained.length > 0) {
			this.#handleContained(record, contained, now);
			return;
		}

		const {placement, admission, queue} = this.#options;
		const decision = placement.decide(record, now);
		if (decision.type === 'target' && record.sends === 0 && this.#othersGoFirst(record, decision.candidate.startMs, now)) {
			this.#queue(record, {
				waitMs: 0, startMs: decision.candidate.startMs, expectedMs: decision.candidate.startMs, forPause: false, isOnTime: true,
			}, now);
			this.#options.requestPass();
			return;
		}

		if (decision.type === 'target' || decision.type === 'away') {
			queue.count('admission', 'accepted');
		}

		if (decision.type === 'target') {
			admission.recordOnTime(record.service, workOf(record), now);
		}

		this.#carryOut(record, decision, now);
	}

	/**
	 * Sends a stalled request to a further destination, if one can take it now, no request that waits is to have the
	 * room, and the retry fits the retry budget.
	 * Its present attempt is kept: the other destination may be full, or out of reach.
	 *
	 * @param onStall - Called before, while the stalled attempt is still the current one.
	 */
	placeStalled(record: RequestRecord, onStall: () => void, now: Millis): void {
		const {placement, containment, attempts, retryPolicy} = this.#options;
		const decision = placement.decide(asIfFailed(record), now);
		const isPlaced = decision.type === 'away' || (decision.type === 'target' && !this.#othersGoFirst(record, decision.candidate.startMs, now));
		if (!isPlaced || containment.containedTraits(record.req).length > 0 || !retryPolicy.reserveRetry(record, now)) {
			return;
		}

		onStall();
		attempts.keep(record);
		this.#start(record, decision, now);
	}

	/**
	 * Places waiting requests of each service in order, and refuses those that have become hopeless. Requests behind one
	 * that has to keep waiting may be placed before it a number of times; then the room is kept for it for a while.
	 *
	 * @returns the number of requests that were compared with all targets
	 */
	placeWaiting(now: Millis): number {
		return this.#options.waiting.services().reduce((sum, service) => sum + this.#placeWaitingOf(service, now), 0);
	}

	#placeWaitingOf(service: ServiceName, now: Millis): number {
		const {waiting, placement, regions, admission} = this.#options;
		const load = {waiting: waiting.size(service), region: regions.ownServiceLoad(service, now)};
		/** Work of the smallest request of each route that has to keep waiting; the same holds for larger ones. */
		const smallestBlocked = new Map<string, number>();
		const blocked: Queued[] = [];
		let workAhead = 0;
		let decisions = 0;
		for (const queued of waiting.ordered(service, now)) {
			const {item: record, work, className} = queued;
			const {waitMs, expectedMs} = admission.predict({service, className}, {
				...load, startMs: queued.startMs, slackMs: queued.onTimeUntil - now, workAhead, workAheadIfLate: queued.onTimeUntil < now ? workAhead : waiting.work(service) - work, isWaiting: true,
			}, now);
			const hopeless = !queued.forPause && !record.headPassed && expectedMs > record.deadlineAt - now;
			const isBlocked = (isUnrestricted(record) && work >= (smallestBlocked.get(className) ?? Number.POSITIVE_INFINITY)) || blocked.some(other => isReserved(other, now));
			if ((isBlocked && !hopeless) || decisions === maxDecisionsPerPass) {
				workAhead += work;
				continue;
			}

			decisions += 1;
			const decision = placement.decide(record, now);
			if (decision.type === 'wait') {
				queued.forPause = decision.forPause;
				workAhead += decision.forPause ? 0 : work;
				if (!decision.forPause) {
					blocked.push(queued);
					smallestBlocked.set(className, Math.min(work, smallestBlocked.get(className) ?? Number.POSITIVE_INFINITY));
				}

				continue;
			}

			this.#leaveQueue(queued, decision, waitMs, now);
			if (decision.type === 'target') {
				for (const other of blocked) {
					other.bypasses += 1;
				}
			}
		}

		return decisions;
	}

	/** Carries out the decision about a request that waited. */
	#leaveQueue({item: record, waitMs: predictedMs, queuedAt, forPause}: Queued, decision: Exclude<Decision, {type: 'wait'}>, waitMs: number, now: Millis): void {
		const {waiting, admission} = this.#options;
		const waitedMs = now - queuedAt;
		waiting.remove(record);
		if (decision.type !== 'away' && predictedMs > 0 && !forPause) {
			// One that is refused would have waited on.
			admission.recordWait(record.service, {predictedMs, measuredMs: waitedMs + (decision.type === 'target' ? 0 : waitMs)}, now);
		}

		const contained = this.#containedTraits(record);
		if (contained.length > 0) {
			this.#handleContained(record, contained, now);
		} else {
			this.#carryOut(record, decision, now);
		}
	}

	/** True if a request that waits, and fits where a new one does, is to be placed before it. */
	#othersGoFirst(record: RequestRecord, startMs: number, now: Millis): boolean {
		const {waiting} = this.#options;
		if (waiting.size(record.service) === 0) {
			return false;
		}

		const work = workOf(record);
		const key = queueKey(record, startMs);
		for (const other of waiting.ordered(record.service, now)) {
			if (isReserved(other, now) || (!other.forPause && isUnrestricted(other.item) && other.work <= work && goesBefore(other, key, now))) {
				return true;
			}
		}

		return false;
	}

	#carryOut(record: RequestRecord, decision: Decision, now: Millis): void {
		const {retryPolicy, waiting, refuse} = this.#options;
		if (decision.type === 'wait' && record.mayHaveRun && !record.headPassed && waiting.size(record.service) > 0) {
			// Nothing is retried into a full service: the room is left to requests that have not run.
			refuse(record, 'target-failed', now);
			return;
		}

		if (record.sends > 0 && !retryPolicy.reserveRetry(record, now)) {
			record.retryAfterMs = decision.type === 'refuse' ? decision.retryAfterMs : record.retryAfterMs;
			refuse(record, 'target-failed', now);
			return;
		}

		switch (decision.type) {
			case 'target':
			case 'away': {
				this.#start(record, decision, now);
				break;
			}

			case 'wait': {
				this.#queue(record, decision, now);
				break;
			}

			case 'refuse': {
				record.retryAfterMs = Math.min(record.retryAfterMs ?? Number.POSITIVE_INFINITY, this.#returnDelayMs(record, decision, now));
				refuse(record, decision.reason, now);
			}
		}
	}

	/** Time after which the caller of a refused request is to return. A forwarded one gets no place in the virtual queue here: the entry that its caller chose gives it one. */
	#returnDelayMs({req, service, deadlineAt}: RequestRecord, {reason, retryAfterMs}: Decision & {type: 'refuse'}, now: Millis): number {
		if (reason !== 'overloaded' || req.forwarded !== undefined) {
			return retryAfterMs;
		}

		const {admission, waiting, regions} = this.#options;
		return admission.returnDelayMs(service, {
			work: workOf({req}),
			queuedWork: waiting.work(service),
			waiting: waiting.size(service),
			region: regions.ownServiceLoad(service, now),
			leftMs: deadlineAt - now,
		}, now) ?? retryAfterMs;
	}

	#queue(record: RequestRecord, {waitMs, startMs, expectedMs, forPause, isOnTime}: Omit<Decision & {type: 'wait'}, 'type'>, now: Millis): void {
		this.#options.queue.count('admission', 'waiting');
		record.expectedStartAt = Number.isFinite(expectedMs) ? now + expectedMs as Millis : undefined;
		if (isOnTime && !forPause) {
			this.#options.admission.recordOnTime(record.service, workOf(record), now);
		}

		this.#options.waiting.add(record.service, {
			...queueKey(record, startMs), item: record, className: record.route.name, work: workOf(record), queuedAt: now, startMs, waitMs, forPause, bypasses: 0,
		}, now);
	}

	#containedTraits(record: RequestRecord): readonly RequestTrait[] {
		return record.isTrial ? [] : this.#options.containment.containedTraits(record.req);
	}

	#start(record: RequestRecord, decision: Destination, now: Millis): void {
		const {attempts, waiting} = this.#options;
		if (decision.type === 'target') {
			waiting.recordPlaced(record.service, record.route.name);
			attempts.send(record, decision.candidate, now);
		} else {
			attempts.forward(record, decision, now);
		}
	}

	/** Refuses a contained request, unless it may run as a trial: a new request that only one trait keeps away, while no other request waits for the room. */
	#handleContained(record: RequestRecord, [trait, ...others]: readonly RequestTrait[], now: Millis): void {
		const {containment: {trials}, waiting, refuse} = this.#options;
		if (record.sends > 0 || waiting.size(record.service) > 0 || others.length > 0 || !trials.isDue(trait!, now)) {
			refuse(record, 'contained', now);
			return;
		}

		trials.request(record.req.requestId, trait!, (granted, decidedAt) => {
			record.isTrial = granted;
			this.place(record, decidedAt);
		}, now);
	}
}

/** True if a request may go to any target, so that one of the same route that is no larger fits where it does. */
function isUnrestricted({excludedTargets, origin}: RequestRecord): boolean {
	return excludedTargets.size === 0 && origin === undefined;
}

/** True if requests behind this one are to leave the next room to it. */
function isReserved(queued: Queued, now: Millis): boolean {
	if (queued.forPause || queued.bypasses < maxBypasses) {
		return false;
	}

	queued.reservedSince ??= now;
	if (now - queued.reservedSince <= maxReservationMs) {
		return true;
	}

	queued.bypasses = 0;
	queued.reservedSince = undefined;
	return false;
}

/** True if a request that waits is to be placed before a new one. */
function goesBefore(queued: Queued, key: Pick<Queued, 'priority' | 'onTimeUntil' | 'deadlineAt'>, now: Millis): boolean {
	const isLate = queued.onTimeUntil < now;
	if (isLate !== (key.onTimeUntil < now)) {
		return !isLate;
	}

	return queued.priority === key.priority ? queued.onTimeUntil <= key.onTimeUntil : queued.priority < key.priority;
}
