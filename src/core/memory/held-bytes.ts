/**
 * Counts what a process holds in memory of one kind, and decides what it refuses or gives up when that is too much.
 *
 * Load pattern: several targets in trouble send bytes without end at the same time, or many callers send large bodies
 * or read none of their answers. Each stays below the bound of one answer or body, but together they exhaust the
 * process, which would end the requests of everybody else. The largest is given up first, since ordinary ones are
 * small. One alone may exceed the bound.
 */
export class HeldBytes<Holder> {
	readonly #maxBytes: number;
	readonly #sizes = new Map<Holder, number>();
	#bytes = 0;

	/** @param maxBytes - Size that all holders together may have, in bytes. */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Size of all holders together, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Adds to the size of a holder; false, with no effect, if that is too much. */
	grow(holder: Holder, bytes: number): boolean {
		const size = this.#sizes.get(holder) ?? 0;
		if (this.#bytes + bytes > this.#maxBytes && this.#bytes > size) {
			return false;
		}

		this.#set(holder, size + bytes);
		return true;
	}

	/** Sets the size of a holder; returns the holders that have to be given up, the largest first, and counts them no longer. */
	set(holder: Holder, bytes: number): readonly Holder[] {
		this.#set(holder, bytes);
		const excess: Holder[] = [];
		while (this.#bytes > this.#maxBytes && this.#sizes.size > 1) {
			const largest = this.#largest();
			this.delete(largest);
			excess.push(largest);
		}

		return excess;
	}

	delete(holder: Holder): void {
		this.#bytes -= this.#sizes.get(holder) ?? 0;
		this.#sizes.delete(holder);
	}

	#set(holder: Holder, bytes: number): void {
		this.#bytes += bytes - (this.#sizes.get(holder) ?? 0);
		this.#sizes.set(holder, bytes);
	}

	#largest(): Holder {
		const [first, ...others] = this.#sizes;
		let [largest, largestBytes] = first!;
		for (const [holder, bytes] of others) {
			if (bytes > largestBytes) {
				[largest, largestBytes] = [holder, bytes];
			}
		}

		return largest;
	}
}
