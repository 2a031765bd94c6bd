/** Speeds assumed for a target whose speed is neither measured nor announced. */
export type TypicalSpeed = {
	/** Milliseconds between output tokens of a request that runs alone on its target. */
	readonly tokenMs: number;
	/** Milliseconds of one service call. */
	readonly callMs: number;
};
