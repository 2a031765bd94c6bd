import type {Millis} from '../ids/millis.ts';

/** How long a claim stays refused, in milliseconds; far longer than a coordinator tries to get it accepted. */
const keepMs = 600_000;
/** Claims refused at once. */
const limit = 10_000;

/** Claims that are refused for good, by the text of their ids. */
export class FenceList {
	readonly #fenced = new Map<string, number>();

	get size(): number {
		return this.#fenced.size;
	}

	/** Adds a claim; false if there is no room. */
	add(text: string, now: Millis): boolean {
		if (this.#fenced.size >= limit && !this.#fenced.has(text)) {
			return false;
		}

		this.#fenced.set(text, now);
		return true;
	}

	has(text: string): boolean {
		return this.#fenced.has(text);
	}

	all(): string[] {
		return [...this.#fenced.keys()];
	}

	/** Forgets claims that no coordinator tries any more. */
	expire(now: Millis): void {
		for (const [text, at] of this.#fenced) {
			if (now - at <= keepMs) {
				break;
			}

			this.#fenced.delete(text);
		}
	}
}
