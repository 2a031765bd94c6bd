/** Load of a target over all entries, as it reports it with its answers: requests that run and wait there, and its slots. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How many times as long as normally work takes there now, as told and unchecked, possibly not a number; undefined if the target tells nothing of it. */
	readonly slowdown?: number;
};
