import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RequestRecord} from './request-record.ts';
import type {RetryCharge} from './retry-charge.ts';

/** Share of the deployment's bound that is used, so that entries that restart with empty counters or learn late of each other do not exceed it. */
const safetyShare = 0.7;
/** Share of an entry's part of the slack that accrues over its first window: processes before it may have used `safetyShare` of it in the same window. */
const startingShare = 1 - safetyShare;
/** Retries of each service that an entry may use of it at once when it starts: enough for a request that two targets fail. */
const startingRetries = 2;
/** Buckets into which the window is divided. */
const bucketsPerWindow = 10;

type WindowedRetryBudgetOptions = {
	/** Retries allowed for each request of a service. */
	readonly ratio: number;
	/** Retries allowed beyond that in one window, summed over all entries. */
	readonly slack: number;
	readonly windowMs: number;
};

type Bucket = {readonly number: number; requests: number; retries: number};

/**
 * Bounds the retries of each service over a sliding window: to a share of its requests at this entry, plus this
 * entry's part of a slack that all entries share.
 */
export class WindowedRetryBudget {
	readonly #options: WindowedRetryBudgetOptions;
	readonly #bucketMs: number;
	#startedAt: Millis | undefined;
	readonly #services = new Map<ServiceName, Bucket[]>();

	constructor(options: WindowedRetryBudgetOptions) {
		this.#options = options;
		this.#bucketMs = options.windowMs / bucketsPerWindow;
	}

	/** Marks the start of the entry's process by the first call. */
	start(now: Millis): void {
		this.#startedAt ??= now;
	}

	/** Counts a request that reaches a target, which adds to the budget: once, and at the entry to which its caller sent it. */
	countRequest(record: Pick<RequestRecord, 'req' | 'service' | 'counted'>, now: Millis): void {
		if (record.counted || record.req.forwarded !== undefined) {
			return;
		}

		record.counted = true;
		this.#current(record.service, now).requests += 1;
	}

	/** Charges one retry to the budget unless the budget is used up. `entries` is the number of entries that share the slack; none of it is used while that is unknown. */
	withdraw(service: ServiceName, entries: number | undefined, now: Millis): RetryCharge {
		const current = this.#current(service, now);
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#services.get(service)!) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		const {ratio, slack} = this.#options;
		const slackPart = entries === undefined ? 0 : slack / entries;
		const allowed = (safetyShare * ratio * requests) + this.#usableSlack(slackPart, now);
		const granted = retries + 1 <= allowed;
		if (granted) {
			current.retries += 1;
		}

		return {
			granted, requests, retries, allowed,
		};
	}

	/** Retries out of the entry's part of the slack that it may use now. */
	#usableSlack(slackPart: number, now: Millis): number {
		const age = (now - (this.#startedAt ?? now)) / this.#options.windowMs;
		if (age >= 1) {
			return safetyShare * slackPart;
		}

		const startingSlack = startingShare * slackPart;
		return Math.min(startingSlack, Math.max(startingRetries, startingSlack * age));
	}

	/** The current bucket of a service; drops buckets that have left the window. */
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
