import type {Millis} from '../ids/millis.ts';

/** Time for which a claim is refused, in milliseconds; far longer than a coordinator tries to get it accepted. */
const refuseMs = 600_000;
/** Maximum number of refused claims. */
const maxRefused = 10_000;

/** Claims that a keeper refuses, by formatted claim id; bounded, and dropped once no coordinator can still be trying them. */
export class RefusedClaims {
	readonly #refusedAt = new Map<string, number>();

	get size(): number {
		return this.#refusedAt.size;
	}

	/** Adds a claim; false if the limit is reached. */
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

	/** Drops claims whose time is over, in order of insertion up to the first one that stays. */
	expire(now: Millis): void {
		for (const [id, addedAt] of this.#refusedAt) {
			if (now - addedAt <= refuseMs) {
				break;
			}

			this.#refusedAt.delete(id);
		}
	}
}
