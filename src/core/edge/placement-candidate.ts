import type {PooledTarget} from './pooled-target.ts';

/** A target that could take a request, with predictions for the request there. */
export type PlacementCandidate = {
	readonly target: PooledTarget;
	/** Time to the first event of a stream or to the answer of a call, in milliseconds. */
	readonly startMs: number;
	/** Estimated cost of placing the request there, in milliseconds; candidates are compared by it. */
	readonly costMs: number;
	/** Time to the end of the answer, in milliseconds. */
	readonly completionMs: number;
	/** Prompt tokens of the request that have to be prefilled. */
	readonly uncachedTokens: number;
	/** Prompt tokens of this entry's earlier requests there that are not prefilled yet. */
	readonly aheadTokens: number;
	/** Tokens that the request occupies in the target's KV cache at its end. */
	readonly kvCacheTokens: number;
	/** True if the request may be sent there now. */
	readonly hasRoom: boolean;
};
