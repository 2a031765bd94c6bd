import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import {DrainIntervalEstimator} from './drain-interval-estimator.ts';
import {PriorityClass} from './priority-class.ts';
import {VirtualClock} from './virtual-clock.ts';
import type {WaitingRequest} from './waiting-request.ts';

/** Work of one prompt token relative to one output token. */
const promptTokenWork = 0.02;

/** Work of one call of a plain service, in output tokens. */
const callWork = 100;

/** Queue of one service: strictly by priority, inside a priority by the organisations' virtual time. */
export class ServiceQueue {
	readonly #classes = new Map<number, PriorityClass>();
	readonly #clock = new VirtualClock();
	readonly #drainInterval = new DrainIntervalEstimator();
	#size = 0;

	/** Waiting requests. */
	get size(): number {
		return this.#size;
	}

	/** Organisations whose shares are remembered. */
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

	/** The request to place next, leaving out some. */
	peek(skipped: ReadonlySet<RequestId>): WaitingRequest | undefined {
		for (const [, priorityClass] of this.#byPriority()) {
			const head = this.#peekClass(priorityClass, skipped);
			if (head) {
				return head;
			}
		}

		return undefined;
	}

	/** Notes that a request was placed, out of the queue or without having waited. */
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

	/** Milliseconds until a new request would leave the queue, if that is known. */
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
	 * The request that has to make room in a full queue: of the last priority, the newest of the largest backlog.
	 * `share`: the new request's organisation fills its share; `full`: nobody waits whom it may push out.
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

	/** Waiting classes that are not empty, the first priority first. */
	#byPriority(): ReadonlyArray<[number, PriorityClass]> {
		return [...this.#classes]
			.filter(([, priorityClass]) => priorityClass.size > 0)
			.sort(([a], [b]) => a - b);
	}

	/** Head of the organisation with the lowest start tag; the longest waiting one of equals. */
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
