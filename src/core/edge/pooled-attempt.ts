import type {Millis} from '../ids/millis.ts';

/** One request that this entry has at a target. */
export type PooledAttempt = {
	readonly sentAt: Millis;
	/** Prompt tokens that the target must read for it, and those of requests before it that were unread then. */
	readonly uncachedTokens: number;
	readonly aheadTokens: number;
	/** Tokens that are still to come of its answer, at most. */
	outputTokens: number;
	/** Tokens that it holds in the target's memory at its end. */
	readonly kvCacheTokens: number;
	/** Set when its answer has begun. */
	startedAt?: Millis;
	lastEventAt?: Millis;
};
