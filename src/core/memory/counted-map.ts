import type {StateBudget} from './state-budget.ts';

type CountedMapOptions<Value> = {
	readonly budget: StateBudget;
	/** What becomes of the oldest entries when there is too much of the kind: they are forgotten, or kept since others rely on them. */
	readonly whenFull: 'forget' | 'keep';
	/** Memory that a value takes beyond the entry, in bytes. @default none */
	readonly valueBytes?: (value: Value) => number;
	/** Called with the value of each entry that is forgotten. */
	readonly onForgotten?: (value: Value) => void;
};

/** Memory that an entry of a `Map` takes with its key, beside the characters of the key, in bytes. */
const entryBytes = 128;

/** A `Map` in the order of insertion whose keys clients choose, and whose memory is counted. */
export class CountedMap<Key extends string, Value extends number | object> implements Iterable<readonly [Key, Value]> {
	readonly #budget: StateBudget;
	readonly #isForgetful: boolean;
	readonly #valueBytes: (value: Value) => number;
	readonly #onForgotten: (value: Value) => void;
	readonly #entries = new Map<Key, Value>();
	#bytes = 0;

	constructor({budget, whenFull, valueBytes = () => 0, onForgotten = () => undefined}: CountedMapOptions<Value>) {
		this.#budget = budget;
		this.#isForgetful = whenFull === 'forget';
		this.#valueBytes = valueBytes;
		this.#onForgotten = onForgotten;
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Memory that the entries take, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	get(key: Key): Value | undefined {
		return this.#entries.get(key);
	}

	has(key: Key): boolean {
		return this.#entries.has(key);
	}

	/** Sets the value of a key, which keeps its place if it has one. */
	set(key: Key, value: Value): void {
		if (this.#isForgetful && this.#entries.size === 0) {
			this.#budget.register(this);
		}

		const known = this.#entries.get(key);
		const bytes = this.#sizeOf(key, value) - (known === undefined ? 0 : this.#sizeOf(key, known));
		this.#entries.set(key, value);
		this.#bytes += bytes;
		this.#budget.add(bytes);
	}

	/** Sets the value of a key, which becomes the newest. */
	renew(key: Key, value: Value): void {
		this.delete(key);
		this.set(key, value);
	}

	entries(): IterableIterator<[Key, Value]> {
		return this.#entries.entries();
	}

	values(): IterableIterator<Value> {
		return this.#entries.values();
	}

	delete(key: Key): void {
		const value = this.#entries.get(key);
		if (!this.#entries.delete(key)) {
			return;
		}

		const bytes = this.#sizeOf(key, value!);
		this.#bytes -= bytes;
		this.#budget.remove(bytes);
		if (this.#entries.size === 0) {
			this.#budget.unregister(this);
		}
	}

	clear(): void {
		this.#entries.clear();
		this.#budget.remove(this.#bytes);
		this.#bytes = 0;
		this.#budget.unregister(this);
	}

	forgetOldest(bytes: number): void {
		const remaining = this.#bytes - bytes;
		for (const [key, value] of this.#entries) {
			if (this.#bytes <= remaining) {
				return;
			}

			this.delete(key);
			this.#onForgotten(value);
		}
	}

	[Symbol.iterator](): Iterator<readonly [Key, Value]> {
		return this.#entries[Symbol.iterator]();
	}

	#sizeOf(key: Key, value: Value): number {
		return entryBytes + key.length + this.#valueBytes(value);
	}
}
