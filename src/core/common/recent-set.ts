import type {Millis} from '../ids/millis.ts';

type RecentSetOptions = {
	/** Time for which a key counts as recent, in milliseconds. */
	readonly keepMs: number;
	/** Largest number of keys; beyond it, the oldest are dropped. */
	readonly maxSize: number;
};

/** Keys that were added lately. */
export class RecentSet<Key> {
	readonly #options: RecentSetOptions;
	/** Time at which each key was added last, in that order. */
	readonly #addedAt = new Map<Key, Millis>();

	constructor(options: RecentSetOptions) {
		this.#options = options;
	}

	add(key: Key, now: Millis): void {
		this.#addedAt.delete(key);
		this.#addedAt.set(key, now);
		if (this.#addedAt.size > this.#options.maxSize) {
			const [oldest] = this.#addedAt.keys();
			this.#addedAt.delete(oldest!);
		}
	}

	has(key: Key, now: Millis): boolean {
		const addedAt = this.#addedAt.get(key);
		return addedAt !== undefined && now - addedAt <= this.#options.keepMs;
	}
}
