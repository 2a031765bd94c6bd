import type {Millis} from '../ids/millis.ts';

/** How long a claim stays refused, in milliseconds; far longer than a coordinator tries to get it accepted. */
const refuseMs = 600_000;
/** Claims refused at once. */
const maxRefused = 10_000;

/** Claims that are refused for good, by the text of their ids. */
export class RefusedClaims {
	readonly #refusedAt = new Map<string, number>();

	get size(): number {
		return this.#refusedAt.size;
	}

	/** Adds a claim; false if there is no room. */
	add(id: string, now: Millis): boolean {
		if (this.#refusedAt.size >= maxRefused && !this.#refusedAt.has(id)) {
			return false;
		}

		this.#refusedAt.set(id, now);
		return true;
	}

	has(id: string): boolean {
		return this.#refusedAt.has(id);
	}

	all(): string[] {
		return [...this.#refusedAt.keys()];
	}

	/** Forgets claims that no coordinator tries any more. */
	expire(now: Millis): void {
		for (const [id, addedAt] of this.#refusedAt) {
			if (now - addedAt <= refuseMs) {
				break;
			}

			this.#refusedAt.delete(id);
		}
	}
}
