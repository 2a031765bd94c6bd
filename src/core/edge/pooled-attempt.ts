import type {Millis} from '../ids/millis.ts';

/** One attempt of this entry in progress at a target. */
export type PooledAttempt = {
	readonly sentAt: Millis;
	/** Predicted time to the first event of a stream or to the answer of a call, in milliseconds. */
	readonly predictedMs: number;
	/** Prompt tokens that the target has to prefill for it. */
	readonly uncachedTokens: number;
	/** Prompt tokens of this entry's earlier requests that were not prefilled when it was sent. */
	readonly aheadTokens: number;
	/** Upper bound of the output tokens that its answer still lacks. */
	outputTokens: number;
	/** Tokens that it occupies in the target's KV cache at its end. */
	readonly kvCacheTokens: number;
	/** Time at which the answer began: the head of a call, or the first event of a stream. */
	startedAt?: Millis;
	lastEventAt?: Millis;
};
