/** Result of one attempt at a target; input for speed estimates and outlier ejection. */
export type AttemptOutcome = {
	/** `whole`: the answer was complete. */
	readonly result: 'whole' | 'failed' | 'cancelled';
	readonly promptTokens: number;
	/** Leading prompt tokens that were expected to be cached at the target. */
	readonly cachedTokens: number;
	readonly outputTokens: number;
	/** The output tokens passed to `TargetTable.recordStart`, to subtract them from the predicted tokens in flight. */
	readonly predictedOutputTokens: number;
	/** Milliseconds from sending to the first byte of the answer; undefined if none came. */
	readonly firstByteMs?: number;
	readonly totalMs: number;
};
