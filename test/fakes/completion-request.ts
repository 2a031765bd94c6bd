/** Fields of an OpenAI-style chat completion request that the stand-in engine reads. */
export type CompletionRequest = {
	readonly model?: string;
	readonly messages: ReadonlyArray<{readonly role: string; readonly content: string}>;
	readonly stream?: boolean;
	readonly max_tokens?: number;
	readonly priority?: number;
	readonly continue_final_message?: boolean;
};
