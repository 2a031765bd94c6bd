import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import {DrainIntervalEstimator} from './drain-interval-estimator.ts';
import {PriorityClass} from './priority-class.ts';
import {VirtualClock} from './virtual-clock.ts';
import type {WaitingRequest} from './waiting-request.ts';

/** Work of one prompt token, in output tokens. */
const promptTokenWork = 0.02;

/** Work of one service call, in output tokens. */
const callWork = 100;

/** Queue of one service: strict priority first, start-time fair queueing between organisations within a priority. */
export class ServiceQueue {
	readonly #classes = new Map<number, PriorityClass>();
	readonly #clock = new VirtualClock();
	readonly #drainInterval = new DrainIntervalEstimator();
	#size = 0;

	/** Number of waiting requests. */
	get size(): number {
		return this.#size;
	}

	/** Number of organisations whose shares are kept. */
	get organisations(): number {
		return this.#clock.size;
	}

	add(waiting: WaitingRequest): void {
		this.#class(waiting.req.priority).add(waiting);
		this.#size += 1;
	}

	remove(waiting: WaitingRequest): void {
		this.#class(waiting.req.priority).remove(waiting);
		this.#size -= 1;
		if (this.#size === 0) {
			this.#drainInterval.recordEmpty();
		}
	}

	/** The request to dispatch next that is not in `skipped`. */
	peek(skipped: ReadonlySet<RequestId>): WaitingRequest | undefined {
		for (const [, priorityClass] of this.#byPriority()) {
			const head = this.#peekClass(priorityClass, skipped);
			if (head) {
				return head;
			}
		}

		return undefined;
	}

	/** Charges a dispatched request to its organisation; `waited` is false if it never was in the queue. */
	recordDispatch(req: RequestInfo, waited: boolean, now: Millis): void {
		if (waited) {
			this.#drainInterval.recordDrain(now);
		}

		this.#clock.advance(req.organisation, {
			start: this.#clock.startTag(req.organisation),
			work: estimateWork(req),
			weight: req.organisationWeight,
		});
	}

	/** Predicted milliseconds until a new request would leave the queue; 0 while the drain interval is unknown. */
	predictedWaitMs(req: RequestInfo): number {
		let ahead = 1;
		for (const [priority, priorityClass] of this.#byPriority()) {
			if (priority < req.priority) {
				ahead += priorityClass.size;
			} else if (priority === req.priority) {
				ahead += priorityClass.requestsAheadOf(req.organisation);
			}
		}

		return ahead * (this.#drainInterval.intervalMs ?? 0);
	}

	/**
	 * The request to evict from a full queue in favour of a new one: in the least urgent priority that waits, the newest
	 * of the organisation with the largest backlog. `share` if the new request's organisation has used its share of the
	 * queue, `full` if no waiting request may be evicted for it. The queue must not be empty.
	 */
	victimFor(req: RequestInfo): WaitingRequest | 'share' | 'full' {
		const [last, lastClass] = this.#byPriority().at(-1)!;
		if (req.priority > last) {
			return 'full';
		}

		const victim = lastClass.newestOfLargestBacklog()!;
		if (req.priority < last) {
			return victim;
		}

		const largest = lastClass.relativeBacklog(victim.req.organisation, victim.req.organisationWeight);
		const own = lastClass.relativeBacklog(req.organisation, req.organisationWeight, 1);
		if (own < largest) {
			return victim;
		}

		return lastClass.backlog(req.organisation) > 0 ? 'share' : 'full';
	}

	/** Non-empty priority classes, most urgent (lowest number) first. */
	#byPriority(): ReadonlyArray<[number, PriorityClass]> {
		return [...this.#classes]
			.filter(([, priorityClass]) => priorityClass.size > 0)
			.sort(([a], [b]) => a - b);
	}

	/** Head of the organisation with the lowest start tag; ties go to the request that waited longest. */
	#peekClass(priorityClass: PriorityClass, skipped: ReadonlySet<RequestId>): WaitingRequest | undefined {
		let best: WaitingRequest | undefined;
		let bestTag = Number.POSITIVE_INFINITY;
		for (const organisation of priorityClass.organisations()) {
			const tag = this.#clock.startTag(organisation);
			const head = priorityClass.head(organisation, skipped);
			if (!head) {
				continue;
			}

			if (!best || tag < bestTag || (tag === bestTag && head.enqueuedAt < best.enqueuedAt)) {
				best = head;
				bestTag = tag;
			}
		}

		return best;
	}

	#class(priority: number): PriorityClass {
		let priorityClass = this.#classes.get(priority);
		if (!priorityClass) {
			priorityClass = new PriorityClass();
			this.#classes.set(priority, priorityClass);
		}

		return priorityClass;
	}
}

function estimateWork(req: RequestInfo): number {
	return req.kind === 'call' ? callWork : req.outputTokens + (req.promptTokens * promptTokenWork);
}
