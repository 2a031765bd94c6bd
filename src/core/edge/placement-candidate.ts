import type {PooledTarget} from './pooled-target.ts';

/** A target for a request, with what is predicted of it there. */
export type PlacementCandidate = {
	readonly target: PooledTarget;
	/** Time to the first event of a stream or to the answer of a call, in milliseconds. */
	readonly startMs: number;
	/** What placing it there is reckoned to cost, in milliseconds: by this places are compared. */
	readonly costMs: number;
	/** Time to the whole answer, in milliseconds. */
	readonly completionMs: number;
	/** Prompt tokens that have to be read, and those of others before. */
	readonly uncachedTokens: number;
	readonly aheadTokens: number;
	readonly kvCacheTokens: number;
	/** True if the request may be sent there now. */
	readonly hasRoom: boolean;
};
