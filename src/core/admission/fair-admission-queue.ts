import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {ResultName} from '../results/result-name.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AdmissionQueue} from './admission-queue.ts';
import {ServiceQueue} from './service-queue.ts';
import {jitteredRetryAfterMs} from './jittered-retry-after-ms.ts';
import type {WaitingRequest} from './waiting-request.ts';

/** Number of services from which on a new one evicts an empty queue, with its organisations' shares. */
const maxServices = 1024;

/** Shortest wait that a refusal's retry delay is computed from, in milliseconds. */
const minRetryAfterMs = 1000;

/** Bounded queues, one per service: ordered by priority, then by start-time fair queueing between organisations. */
export class FairAdmissionQueue implements AdmissionQueue {
	readonly #random: Random;
	readonly #queues = new Map<string, ServiceQueue>();
	readonly #waiting = new Map<RequestId, WaitingRequest>();
	/** Requests removed by `take` for which `recordDispatch` was not called yet. */
	readonly #dequeued = new Set<RequestId>();
	/** Requests evicted from full queues since the last `expire`. */
	#evicted: Array<{req: RequestInfo; refusal: Refusal}> = [];

	constructor(options: {random: Random}) {
		this.#random = options.random;
	}

	enqueue(req: RequestInfo, settings: RouteSettings, predictedMs: number, now: Millis): {type: 'queued'} | {type: 'refused'; refusal: Refusal} {
		const queue = this.#queue(serviceKey(req));
		const waitMs = Math.max(predictedMs, queue.predictedWaitMs(req));
		if (now + waitMs > req.deadlineAt) {
			return {type: 'refused', refusal: this.#refusal('deadline', now + waitMs - req.deadlineAt)};
		}

		if (queue.size >= settings.queueLimit) {
			const refusal = this.#evictFor(queue, req, waitMs);
			if (refusal) {
				return {type: 'refused', refusal};
			}
		}

		const waiting = {req, enqueuedAt: now};
		this.#waiting.set(req.requestId, waiting);
		queue.add(waiting);
		return {type: 'queued'};
	}

	peek(service: string, _now: Millis, skipped: ReadonlySet<RequestId> = new Set()): RequestInfo | undefined {
		return this.#queues.get(service)?.peek(skipped)?.req;
	}

	take(requestId: RequestId): void {
		const waiting = this.#remove(requestId);
		if (waiting) {
			this.#dequeued.add(requestId);
		}
	}

	recordDispatch(req: RequestInfo, now: Millis): void {
		const waited = this.#dequeued.delete(req.requestId) || this.#waiting.has(req.requestId);
		this.#queue(serviceKey(req)).recordDispatch(req, waited, now);
	}

	expire(now: Millis): ReadonlyArray<{req: RequestInfo; refusal: Refusal}> {
		const expired = this.#evicted;
		this.#evicted = [];
		// Requests that were taken to be refused are never dispatched.
		this.#dequeued.clear();
		for (const {req} of this.#waiting.values()) {
			if (now >= req.deadlineAt) {
				expired.push({req, refusal: this.#refusal('deadline', minRetryAfterMs)});
			}
		}

		for (const {req} of expired) {
			this.#remove(req.requestId);
		}

		return expired;
	}

	waitingServices(): readonly string[] {
		return [...this.#queues].filter(([, queue]) => queue.size > 0).map(([service]) => service);
	}

	depth(service: string): number {
		return this.#queues.get(service)?.size ?? 0;
	}

	/** Evicts a request from a full queue to admit a new one, or returns why the new one is refused. */
	#evictFor(queue: ServiceQueue, req: RequestInfo, waitMs: number): Refusal | undefined {
		if (queue.size === 0) {
			return this.#refusal('queueFull', waitMs);
		}

		const victim = queue.victimFor(req);
		if (victim === 'share') {
			return this.#refusal('organisationShare', waitMs);
		}

		if (victim === 'full') {
			return this.#refusal('queueFull', waitMs);
		}

		const sameClass = victim.req.priority === req.priority;
		const refusal = this.#refusal(sameClass ? 'organisationShare' : 'queueFull', waitMs);
		this.#remove(victim.req.requestId);
		this.#evicted.push({req: victim.req, refusal});
		return undefined;
	}

	#remove(requestId: RequestId): WaitingRequest | undefined {
		const waiting = this.#waiting.get(requestId);
		if (waiting) {
			this.#waiting.delete(requestId);
			this.#queues.get(serviceKey(waiting.req))?.remove(waiting);
		}

		return waiting;
	}

	#refusal(result: ResultName, waitMs: number): Refusal {
		return {result, ran: 'no', retryAfterMs: jitteredRetryAfterMs(Math.max(minRetryAfterMs, waitMs), this.#random)};
	}

	#queue(service: string): ServiceQueue {
		let queue = this.#queues.get(service);
		if (!queue) {
			this.#evictEmptyQueue();
			queue = new ServiceQueue();
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** Evicts the oldest empty queue if there are too many. */
	#evictEmptyQueue(): void {
		if (this.#queues.size < maxServices) {
			return;
		}

		for (const [service, queue] of this.#queues) {
			if (queue.size === 0) {
				this.#queues.delete(service);
				return;
			}
		}
	}
}

function serviceKey(req: RequestInfo): string {
	return `${req.path.firm}/${req.path.deployment}/${req.path.service}`;
}
