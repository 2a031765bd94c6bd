import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import {DeadlineQueue} from './deadline-queue.ts';
import type {QueuedRequest} from './queued-request.ts';

/** Requests that wait at this entry for room, in one queue for each service. */
export class WaitingRequests<Item> {
	readonly #queues = new Map<ServiceName, DeadlineQueue<Item>>();
	readonly #requests = new Map<Item, {readonly service: ServiceName; readonly request: QueuedRequest<Item>}>();

	add(service: ServiceName, request: QueuedRequest<Item>, now: Millis): void {
		const queue = this.#queues.get(service) ?? new DeadlineQueue();
		this.#queues.set(service, queue);
		queue.add(request, now);
		this.#requests.set(request.item, {service, request});
	}

	/** Removes a request; returns it if it waited. */
	remove(item: Item): QueuedRequest<Item> | undefined {
		const known = this.#requests.get(item);
		if (known === undefined) {
			return undefined;
		}

		this.#requests.delete(item);
		this.#queues.get(known.service)!.remove(known.request);
		return known.request;
	}

	has(item: Item): boolean {
		return this.#requests.has(item);
	}

	get(item: Item): QueuedRequest<Item> | undefined {
		return this.#requests.get(item)?.request;
	}

	size(service: ServiceName): number {
		return this.#queues.get(service)?.size ?? 0;
	}

	get isEmpty(): boolean {
		return this.#requests.size === 0;
	}

	services(): readonly ServiceName[] {
		return [...this.#queues].filter(([, queue]) => queue.size > 0).map(([service]) => service);
	}

	/** All requests that wait, in no order. */
	items(): readonly Item[] {
		return [...this.#requests.keys()];
	}

	/** Requests of a service that wait, in the order in which they are to be placed. */
	ordered(service: ServiceName, now: Millis): ReadonlyArray<QueuedRequest<Item>> {
		return this.#queues.get(service)?.ordered(now) ?? [];
	}

	/** Sum of the work of all requests of a service that wait. */
	work(service: ServiceName): number {
		return this.#queues.get(service)?.work ?? 0;
	}

	/** Sum of the work that a request of a service would wait for. */
	workAhead(service: ServiceName, request: Pick<QueuedRequest<Item>, 'priority' | 'onTimeUntil' | 'deadlineAt'>, now: Millis): number {
		return this.#queues.get(service)?.workAhead(request, now) ?? 0;
	}

	/** Records that a request of a class was placed, whether it waited or not. */
	recordPlaced(service: ServiceName, className: string): void {
		this.#queues.get(service)?.recordPlaced(className);
	}
}
