import {ServiceQueue} from '../admission/service-queue.ts';
import type {WaitingRequest} from '../admission/waiting-request.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ResultName} from '../results/result-name.ts';
import type {RequestState} from './request-state.ts';

type Wait = {
	readonly state: RequestState;
	readonly waiting: WaitingRequest;
};

type ServiceWaits = {
	readonly waits: Map<RequestId, Wait>;
	/** The same requests; decides which one is evicted. */
	readonly queue: ServiceQueue;
	/** End of the first pause that one of them waits for. */
	firstEndAt: Millis;
};

/** Who is refused when the waits of a service are full. */
type Eviction = {readonly state: RequestState; readonly result: ResultName};

/** Requests that wait outside the admission queue until a target that may take them ends its pause, by service. */
export class PauseWaits {
	readonly #services = new Map<string, ServiceWaits>();

	services(): readonly string[] {
		return [...this.#services.keys()];
	}

	/** Adds a request. With `limit` of them already, one is evicted by the rules of the admission queue, or the new one is not added; returns that one. */
	add(state: RequestState, {endAt, limit}: {endAt: Millis; limit: number}, now: Millis): Eviction | undefined {
		const service = this.#services.get(state.serviceKey) ?? {waits: new Map<RequestId, Wait>(), queue: new ServiceQueue(), firstEndAt: endAt};
		const eviction = service.queue.size >= limit ? evictionFor(state, service) : undefined;
		if (eviction?.state === state) {
			return eviction;
		}

		const waiting = {req: state.req, enqueuedAt: now};
		service.queue.add(waiting);
		service.waits.set(state.req.requestId, {state, waiting});
		service.firstEndAt = Math.min(service.firstEndAt, endAt) as Millis;
		this.#services.set(state.serviceKey, service);
		return eviction;
	}

	/** Whether a pause that requests of the service wait for has ended. */
	isDue(serviceKey: string, now: Millis): boolean {
		const service = this.#services.get(serviceKey);
		return service !== undefined && now >= service.firstEndAt;
	}

	/** Removes the requests of a service; returns them in the order of their arrival. */
	take(serviceKey: string): readonly RequestState[] {
		const service = this.#services.get(serviceKey);
		this.#services.delete(serviceKey);
		return [...service?.waits.values() ?? []].map(({state}) => state);
	}

	/** Removes a request that ended. */
	remove({serviceKey, req}: RequestState): void {
		const service = this.#services.get(serviceKey);
		const wait = service?.waits.get(req.requestId);
		if (!service || !wait) {
			return;
		}

		service.queue.remove(wait.waiting);
		service.waits.delete(req.requestId);
		if (service.waits.size === 0) {
			this.#services.delete(serviceKey);
		}
	}
}

function evictionFor(state: RequestState, {queue, waits}: ServiceWaits): Eviction {
	const victim = queue.size === 0 ? 'full' : queue.victimFor(state.req);
	if (victim === 'full' || victim === 'share') {
		return {state, result: victim === 'full' ? 'queueFull' : 'organisationShare'};
	}

	const sameClass = victim.req.priority === state.req.priority;
	return {state: waits.get(victim.req.requestId)!.state, result: sameClass ? 'organisationShare' : 'queueFull'};
}
