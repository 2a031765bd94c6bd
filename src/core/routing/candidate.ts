import type {TargetView} from '../targets/target-view.ts';

/** A target that may get a request, with the values that the routing steps computed for it. */
export type Candidate = {
	readonly target: TargetView;
	/** False if the target has no room for one more request now. */
	hasRoom: boolean;
	/** Leading prompt tokens that are expected to be cached on the target. */
	cachedTokens: number;
	/** Predicted milliseconds to the first byte of the answer. */
	firstByteMs: number;
	/** Predicted milliseconds to the end of the answer. */
	totalMs: number;
	/** Cost in milliseconds that the choice minimizes, as given by `objective`. */
	score: number;
};
