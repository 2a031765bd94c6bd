import type {Millis} from '../ids/millis.ts';

/** The largest of the values that were recorded in the last `holdMs`. */
export class HeldMaximum {
	readonly #holdMs: number;
	/** Each with a smaller value than the one before it. */
	#values: ReadonlyArray<{readonly at: Millis; readonly value: number}> = [];

	constructor(holdMs: number) {
		this.#holdMs = holdMs;
	}

	record(value: number, now: Millis): void {
		this.#values = [...this.#values.filter(held => held.value > value && now - held.at <= this.#holdMs), {at: now, value}];
	}

	/** The last value at least, however long ago it was recorded; undefined before the first. */
	largest(now: Millis): number | undefined {
		return (this.#values.find(({at}) => now - at <= this.#holdMs) ?? this.#values.at(-1))?.value;
	}
}
