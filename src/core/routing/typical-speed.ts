/** Speeds assumed for a target of which nothing was learnt yet. */
export type TypicalSpeed = {
	/** Milliseconds between output tokens for one request alone. */
	readonly tokenMs: number;
	/** Milliseconds of one call of a plain service. */
	readonly callMs: number;
};
