import type {Millis} from '../ids/millis.ts';
import type {RetryBudget} from './retry-budget.ts';

type Options = {
	/** Time over which requests are averaged and unused retries are kept, in milliseconds. @default 10_000 */
	readonly windowMs?: number;
	/** Retries per second that every route gets regardless of its request rate. @default 2 */
	readonly minimumPerSecond?: number;
	/** Number of routes kept; the least recently used one is evicted. @default 1024 */
	readonly maxRoutes?: number;
};

/** Token bucket of one route; one token is one retry. */
type Bucket = {
	tokens: number;
	/** Share of requests that may be retried, from the last deposit. */
	share: number;
	/** Requests per second, smoothed over the window; determines the bucket's capacity. */
	requestsPerSecond: number;
	updatedAt: Millis;
};

/**
 * Token bucket per route: each first attempt deposits its share of a retry, tokens are also added at a small constant
 * rate, and the bucket holds at most one window's worth, so that retries stay a bounded share of requests.
 */
export class TokenRetryBudget implements RetryBudget {
	readonly #windowMs: number;
	readonly #minimumPerSecond: number;
	readonly #maxRoutes: number;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: Options = {}) {
		this.#windowMs = options.windowMs ?? 10_000;
		this.#minimumPerSecond = options.minimumPerSecond ?? 2;
		this.#maxRoutes = options.maxRoutes ?? 1024;
	}

	/** Number of routes kept. */
	get size(): number {
		return this.#buckets.size;
	}

	deposit(route: string, share: number, now: Millis): void {
		const bucket = this.#bucket(route, now);
		bucket.share = share;
		bucket.requestsPerSecond += 1000 / this.#windowMs;
		bucket.tokens = Math.min(bucket.tokens + share, this.#capacity(bucket));
	}

	withdraw(route: string, now: Millis): boolean {
		const bucket = this.#bucket(route, now);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens -= 1;
		return true;
	}

	/** The route's bucket, refilled up to now and marked as the most recently used one. */
	#bucket(route: string, now: Millis): Bucket {
		const bucket = this.#buckets.get(route) ?? this.#newBucket(now);
		this.#refill(bucket, now);
		this.#buckets.delete(route);
		this.#buckets.set(route, bucket);
		if (this.#buckets.size > this.#maxRoutes) {
			const [oldest] = this.#buckets.keys();
			this.#buckets.delete(oldest!);
		}

		return bucket;
	}

	#newBucket(now: Millis): Bucket {
		return {
			tokens: this.#minimumPerSecond * this.#windowMs / 1000, share: 0, requestsPerSecond: 0, updatedAt: now,
		};
	}

	#refill(bucket: Bucket, now: Millis): void {
		const elapsedMs = Math.max(0, now - bucket.updatedAt);
		bucket.requestsPerSecond *= Math.exp(-elapsedMs / this.#windowMs);
		bucket.tokens = Math.min(bucket.tokens + (this.#minimumPerSecond * elapsedMs / 1000), this.#capacity(bucket));
		bucket.updatedAt = now;
	}

	#capacity(bucket: Bucket): number {
		const perSecond = (bucket.share * bucket.requestsPerSecond) + this.#minimumPerSecond;
		return perSecond * this.#windowMs / 1000;
	}
}
