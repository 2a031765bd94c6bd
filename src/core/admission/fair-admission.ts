import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {ResultName} from '../results/result-name.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {Admission} from './admission.ts';
import {ServiceQueue} from './service-queue.ts';
import {spreadRetry} from './spread-retry.ts';
import type {WaitingRequest} from './waiting-request.ts';

/** Services whose empty queues and shares are remembered at most. */
const mostServices = 1024;

/** Shortest time to come back that a refused caller is given, in milliseconds. */
const shortestRetryMs = 1000;

/** Bounded queues, one for each service: by priority, then fair between organisations by virtual time. */
export class FairAdmission implements Admission {
	readonly #random: Random;
	readonly #queues = new Map<string, ServiceQueue>();
	readonly #waiting = new Map<RequestId, WaitingRequest>();
	/** Requests taken out of a queue that `placed` was not called for yet. */
	readonly #taken = new Set<RequestId>();
	#pushedOut: Array<{req: RequestInfo; refusal: Refusal}> = [];

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
			const refusal = this.#makeRoom(queue, req, waitMs);
			if (refusal) {
				return {type: 'refused', refusal};
			}
		}

		const waiting = {req, since: now};
		this.#waiting.set(req.requestId, waiting);
		queue.add(waiting);
		return {type: 'queued'};
	}

	peek(service: string, _now: Millis, passed: ReadonlySet<RequestId> = new Set()): RequestInfo | undefined {
		return this.#queues.get(service)?.first(passed)?.req;
	}

	take(requestId: RequestId): void {
		const waiting = this.#remove(requestId);
		if (waiting) {
			this.#taken.add(requestId);
		}
	}

	placed(req: RequestInfo, now: Millis): void {
		const waited = this.#taken.delete(req.requestId) || this.#waiting.has(req.requestId);
		this.#queue(serviceKey(req)).placed(req, waited, now);
	}

	expire(now: Millis): ReadonlyArray<{req: RequestInfo; refusal: Refusal}> {
		const expired = this.#pushedOut;
		this.#pushedOut = [];
		this.#taken.clear();
		for (const {req} of this.#waiting.values()) {
			if (now >= req.deadlineAt) {
				expired.push({req, refusal: this.#refusal('deadline', shortestRetryMs)});
			}
		}

		for (const {req} of expired) {
			this.#remove(req.requestId);
		}

		return expired;
	}

	waiting(): readonly string[] {
		return [...this.#queues].filter(([, queue]) => queue.size > 0).map(([service]) => service);
	}

	depth(service: string): number {
		return this.#queues.get(service)?.size ?? 0;
	}

	/** Pushes a request out of a full queue, or says why the new one must not come in. */
	#makeRoom(queue: ServiceQueue, req: RequestInfo, waitMs: number): Refusal | undefined {
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
		this.#pushedOut.push({req: victim.req, refusal});
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
		return {result, ran: 'no', retryAfterMs: spreadRetry(Math.max(shortestRetryMs, waitMs), this.#random)};
	}

	#queue(service: string): ServiceQueue {
		let queue = this.#queues.get(service);
		if (!queue) {
			this.#forgetIdle();
			queue = new ServiceQueue();
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** Drops the oldest queue that is empty if there are too many. */
	#forgetIdle(): void {
		if (this.#queues.size < mostServices) {
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
