import type {TargetView} from '../targets/target-view.ts';

/** A target that a request may go to, with what the steps worked out about it. */
export type Candidate = {
	readonly target: TargetView;
	/** False if the target has no room for one more request now. */
	hasRoom: boolean;
	/** Leading prompt tokens believed to be cached there. */
	cachedTokens: number;
	/** Predicted milliseconds to the first byte of the answer. */
	firstByteMs: number;
	/** Predicted milliseconds to the whole answer. */
	totalMs: number;
	/** What the choice minimizes: predicted milliseconds, corrected for affinity. */
	score: number;
};
