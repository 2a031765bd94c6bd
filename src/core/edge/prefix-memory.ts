import type {Prompt} from './prompt.ts';

/**
 * Which prompt parts an engine is believed to keep, from what was sent to it: the least recently used
 * are dropped when their tokens exceed what the engine holds.
 */
export class PrefixMemory {
	readonly #tokens = new Map<string, number>();
	#sum = 0;

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
	used({parts}: Prompt, capacity: number): void {
		for (const {id, tokens} of parts) {
			this.#sum += tokens - (this.#tokens.get(id) ?? 0);
			this.#tokens.delete(id);
			this.#tokens.set(id, tokens);
		}

		for (const [id, tokens] of this.#tokens) {
			if (this.#sum <= capacity) {
				break;
			}

			this.#tokens.delete(id);
			this.#sum -= tokens;
		}
	}

	clear(): void {
		this.#tokens.clear();
		this.#sum = 0;
	}
}
