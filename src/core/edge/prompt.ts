import type {PromptPartId} from '../ids/prompt-part-id.ts';

/** Prompt of a request to a model engine, as the request describes it. */
export type Prompt = {
	/** Parts in order. Requests share leading parts; the last part is the request's own. */
	readonly parts: ReadonlyArray<{readonly id: PromptPartId; readonly tokens: number}>;
	readonly promptTokens: number;
	/** Announced maximum of output tokens. */
	readonly outputTokens: number;
	/** The caller's estimate of output tokens: right at the median, often far off. */
	readonly lengthHint?: number;
};
