/** Prompt of a request to a model engine, as the request describes it. */
export type Prompt = {
	/** Parts in order. Requests share leading parts; the last part is the request's own. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly promptTokens: number;
	readonly outputTokens: number;
};
