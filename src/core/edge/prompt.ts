/** What a request to a model engine says of its prompt. */
export type Prompt = {
	/** Parts in order; requests share the first ones. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly promptTokens: number;
	readonly outputTokens: number;
};
