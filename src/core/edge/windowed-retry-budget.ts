import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';

/** Share of the deployment's bound that is used, so that entries that start anew or know each other late do not break it. */
const safetyShare = 0.7;
/** Counters of one window. */
const bucketsPerWindow = 10;

type WindowedRetryBudgetOptions = {
	/** Repeats allowed for each request of a service. */
	readonly ratio: number;
	/** Repeats allowed beside that in a window, summed over all entries. */
	readonly slack: number;
	readonly windowMs: number;
};

type Bucket = {readonly number: number; requests: number; retries: number};

/**
 * Bounds how often requests of a service are sent again: a share of its requests, and this entry's part of a slack
 * that all entries have together. Both count over a sliding window.
 */
export class WindowedRetryBudget {
	readonly #options: WindowedRetryBudgetOptions;
	readonly #bucketMs: number;
	readonly #services = new Map<ServiceName, Bucket[]>();

	constructor(options: WindowedRetryBudgetOptions) {
		this.#options = options;
		this.#bucketMs = options.windowMs / bucketsPerWindow;
	}

	/** Counts a request of a caller. */
	countRequest(service: ServiceName, now: Millis): void {
		this.#current(service, now).requests += 1;
	}

	/** Takes one repeat out of the budget if there is one left; `entries` share the slack. */
	withdraw(service: ServiceName, entries: number, now: Millis): boolean {
		const current = this.#current(service, now);
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#services.get(service)!) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		const {ratio, slack} = this.#options;
		const allowed = safetyShare * ((ratio * requests) + (slack / Math.max(1, entries)));
		if (retries + 1 > allowed) {
			return false;
		}

		current.retries += 1;
		return true;
	}

	/** The bucket of now; those outside the window are dropped. */
	#current(service: ServiceName, now: Millis): Bucket {
		const number = Math.floor(now / this.#bucketMs);
		const buckets = (this.#services.get(service) ?? []).filter(bucket => number - bucket.number <= bucketsPerWindow);
		let last = buckets.at(-1);
		if (last?.number !== number) {
			last = {number, requests: 0, retries: 0};
			buckets.push(last);
		}

		this.#services.set(service, buckets);
		return last;
	}
}
