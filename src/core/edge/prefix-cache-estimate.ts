import type {Prompt} from './prompt.ts';

/**
 * Which prompt parts an engine is believed to keep, from what was sent to it: the least recently used
 * are dropped when their tokens exceed what the engine holds.
 */
export class PrefixCacheEstimate {
	readonly #tokens = new Map<string, number>();
	#totalTokens = 0;

	/** Tokens at the start of a prompt that need not be read again. */
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

	/** Notes that a request with these parts runs at the engine, which keeps at most `capacity` tokens. */
	recordUse({parts}: Prompt, capacity: number): void {
		for (const {id, tokens} of parts) {
			this.#totalTokens += tokens - (this.#tokens.get(id) ?? 0);
			this.#tokens.delete(id);
			this.#tokens.set(id, tokens);
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
