import type {ServiceName} from '../ids/service-name.ts';
import type {RequestRecord} from './request-record.ts';

/** Requests that wait at this entry for capacity, by service, ordered by priority and then by arrival. */
export class WaitQueue {
	readonly #queues = new Map<ServiceName, RequestRecord[]>();

	add(record: RequestRecord): void {
		const queue = this.#queues.get(record.service) ?? [];
		const position = queue.findIndex(other => goesBefore(record, other));
		queue.splice(position === -1 ? queue.length : position, 0, record);
		this.#queues.set(record.service, queue);
	}

	remove(record: RequestRecord): boolean {
		const queue = this.#queues.get(record.service);
		const position = queue?.indexOf(record) ?? -1;
		if (position === -1) {
			return false;
		}

		queue!.splice(position, 1);
		return true;
	}

	size(service: ServiceName): number {
		return this.#queues.get(service)?.length ?? 0;
	}

	get isEmpty(): boolean {
		return this.services().length === 0;
	}

	services(): readonly ServiceName[] {
		return [...this.#queues].filter(([, queue]) => queue.length > 0).map(([service]) => service);
	}

	/** Copy of the waiting requests of a service, in order. */
	list(service: ServiceName): readonly RequestRecord[] {
		return [...this.#queues.get(service) ?? []];
	}

	has(record: RequestRecord): boolean {
		return this.#queues.get(record.service)?.includes(record) ?? false;
	}
}

function goesBefore(left: RequestRecord, right: RequestRecord): boolean {
	return left.priority === right.priority
		? left.req.arrivedAt < right.req.arrivedAt
		: left.priority < right.priority;
}
