import type {Millis} from '../ids/millis.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';

type RecentSetOptions = {
	/** Memory that the keys may take, with others of their kind; beyond it, the oldest are dropped. */
	readonly budget: StateBudget;
	/** Time for which a key counts as recent, in milliseconds. */
	readonly keepMs: number;
	/** Largest number of keys; beyond it, the oldest are dropped. */
	readonly maxSize: number;
};

/** Keys that were added lately. */
export class RecentSet<Key extends string> {
	readonly #options: RecentSetOptions;
	/** Time at which each key was added last, in that order. */
	readonly #addedAt: CountedMap<Key, Millis>;

	constructor(options: RecentSetOptions) {
		this.#options = options;
		this.#addedAt = new CountedMap({budget: options.budget, whenFull: 'forget'});
	}

	add(key: Key, now: Millis): void {
		this.#addedAt.renew(key, now);
		if (this.#addedAt.size > this.#options.maxSize) {
			const [oldest] = this.#addedAt;
			this.#addedAt.delete(oldest![0]);
		}
	}

	has(key: Key, now: Millis): boolean {
		const addedAt = this.#addedAt.get(key);
		return addedAt !== undefined && now - addedAt <= this.#options.keepMs;
	}
}
