import type {PromptPartId} from '../ids/prompt-part-id.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import type {Prompt} from './prompt.ts';

/**
 * Estimates which prompt parts an engine has in its KV cache, from the requests sent to it. The least recently used
 * parts are dropped when their tokens exceed the engine's capacity, or the estimates of all engines their memory.
 */
export class PrefixCacheEstimate {
	readonly #tokens: CountedMap<PromptPartId, number>;
	#totalTokens = 0;

	constructor(budget: StateBudget) {
		this.#tokens = new CountedMap({
			budget,
			whenFull: 'forget',
			onForgotten: tokens => {
				this.#totalTokens -= tokens;
			},
		});
	}

	/** Tokens at the start of a prompt that are expected to be cached. */
	cachedTokens({parts}: Prompt): number {
		let cached = 0;
		for (const {id, tokens} of parts) {
			if (!this.#tokens.has(id)) {
				break;
			}

			cached += tokens;
		}

		return cached;
	}

	/** Records that a request with this prompt was sent to the engine, whose KV cache holds at most `capacity` tokens; a larger prompt is not kept there. */
	recordUse({parts}: Prompt, capacity: number): void {
		if (parts.reduce((sum, {tokens}) => sum + tokens, 0) > capacity) {
			return;
		}

		for (const {id, tokens} of parts) {
			this.#totalTokens += tokens - (this.#tokens.get(id) ?? 0);
			this.#tokens.renew(id, tokens);
		}

		for (const [id, tokens] of this.#tokens) {
			if (this.#totalTokens <= capacity) {
				break;
			}

			this.#tokens.delete(id);
			this.#totalTokens -= tokens;
		}
	}

	clear(): void {
		this.#tokens.clear();
		this.#totalTokens = 0;
	}
}
