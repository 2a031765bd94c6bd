/** How one attempt at a target went; what the target table learns from. */
export type AttemptOutcome = {
	readonly result: 'whole' | 'failed' | 'cancelled';
	readonly promptTokens: number;
	/** Leading prompt tokens that were believed to be cached. */
	readonly cachedTokens: number;
	readonly outputTokens: number;
	/** The estimate given at the start, to take it out of the sum of predicted work. */
	readonly predictedOutputTokens: number;
	/** From sending to the first byte of the answer; undefined if none came. */
	readonly firstByteMs?: number;
	readonly totalMs: number;
};
