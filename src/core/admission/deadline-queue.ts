import type {Millis} from '../ids/millis.ts';
import type {QueuedRequest} from './queued-request.ts';

/** Requests of other classes that are placed before a class that waits comes first: each is served at least a quarter as often as all. */
const maxPassedOver = 3;

/**
 * Requests of one service that wait for room, in the order in which they are to be placed: those that can still meet
 * their latency objective before those that can only be late; among these by priority, then by least slack.
 *
 * Load pattern: under lasting overload a class with a less urgent priority, or long prompts beside short ones, would
 * wait until its deadline; a class that was passed over a number of times therefore comes first.
 */
export class DeadlineQueue<Item> {
	/** Those that can still meet their objective, in order; then the others. */
	readonly #onTime: Array<QueuedRequest<Item>> = [];
	readonly #late: Array<QueuedRequest<Item>> = [];
	#work = 0;
	readonly #passedOver = new Map<string, number>();
	readonly #classSizes = new Map<string, number>();

	get size(): number {
		return this.#onTime.length + this.#late.length;
	}

	/** Sum of the work of all requests. */
	get work(): number {
		return this.#work;
	}

	/** Sum of the work of requests that a new one would wait for. */
	workAhead(request: Pick<QueuedRequest<Item>, 'priority' | 'onTimeUntil' | 'deadlineAt'>, now: Millis): number {
		this.#demote(now);
		const isLate = request.onTimeUntil < now;
		let work = 0;
		for (const queued of this.#onTime) {
			work += isLate || compareOnTime(queued, request) <= 0 ? queued.work : 0;
		}

		for (const queued of isLate ? this.#late : []) {
			work += compareLate(queued, request) <= 0 ? queued.work : 0;
		}

		return work;
	}

	add(request: QueuedRequest<Item>, now: Millis): void {
		this.#work += request.work;
		this.#classSizes.set(request.className, (this.#classSizes.get(request.className) ?? 0) + 1);
		if (request.onTimeUntil < now) {
			insert(this.#late, request, compareLate);
		} else {
			insert(this.#onTime, request, compareOnTime);
		}
	}

	remove(request: QueuedRequest<Item>): void {
		if (!removeFrom(this.#onTime, request) && !removeFrom(this.#late, request)) {
			return;
		}

		this.#work -= request.work;
		const left = this.#classSizes.get(request.className)! - 1;
		this.#classSizes.set(request.className, left);
		if (left === 0) {
			this.#classSizes.delete(request.className);
			this.#passedOver.delete(request.className);
		}
	}

	/** Records that a request, which waited or has just come, was placed: other classes that wait were passed over. */
	recordPlaced(className: string): void {
		for (const waiting of this.#classSizes.keys()) {
			this.#passedOver.set(waiting, (this.#passedOver.get(waiting) ?? 0) + 1);
		}

		this.#passedOver.delete(className);
	}

	/** Copy of the waiting requests, in order. */
	ordered(now: Millis): ReadonlyArray<QueuedRequest<Item>> {
		this.#demote(now);
		const all = [...this.#onTime, ...this.#late];
		const overdue = [...this.#passedOver]
			.filter(([, count]) => count >= maxPassedOver)
			.sort(([, left], [, right]) => right - left)
			.map(([className]) => all.find(request => request.className === className)!);
		return overdue.length === 0 ? all : [...overdue, ...all.filter(request => !overdue.includes(request))];
	}

	/** Moves requests that can no longer meet their objective behind those that can. */
	#demote(now: Millis): void {
		const demoted = this.#onTime.filter(({onTimeUntil}) => onTimeUntil < now);
		for (const request of demoted) {
			removeFrom(this.#onTime, request);
			insert(this.#late, request, compareLate);
		}
	}
}

type Order = (left: Pick<QueuedRequest<unknown>, 'priority' | 'onTimeUntil' | 'deadlineAt'>, right: Pick<QueuedRequest<unknown>, 'priority' | 'onTimeUntil' | 'deadlineAt'>) => number;

const compareOnTime: Order = (left, right) => left.priority - right.priority || left.onTimeUntil - right.onTimeUntil;

const compareLate: Order = (left, right) => left.priority - right.priority || left.deadlineAt - right.deadlineAt;

function insert<Item>(list: Array<QueuedRequest<Item>>, request: QueuedRequest<Item>, compare: Order): void {
	let position = list.length;
	while (position > 0 && compare(request, list[position - 1]!) < 0) {
		position -= 1;
	}

	list.splice(position, 0, request);
}

function removeFrom<Item>(list: Array<QueuedRequest<Item>>, request: QueuedRequest<Item>): boolean {
	const position = list.indexOf(request);
	if (position === -1) {
		return false;
	}

	list.splice(position, 1);
	return true;
}
