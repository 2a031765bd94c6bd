import type {HeldBytes} from '../core/memory/held-bytes.ts';

/** What one answer or body holds of a bound that all of its kind share. */
export class MemoryHold {
	readonly #held: HeldBytes<MemoryHold>;
	readonly #giveUp: () => void;
	#closed = false;

	/** @param giveUp - Called once if all together hold too much and this one is the largest. */
	constructor(held: HeldBytes<MemoryHold>, giveUp: () => void = () => undefined) {
		this.#held = held;
		this.#giveUp = giveUp;
	}

	/** Counts bytes that are to be held too; false if that is too much, and they must not be held. */
	grow(bytes: number): boolean {
		return !this.#closed && this.#held.grow(this, bytes);
	}

	/** Sets the number of bytes held. */
	set(bytes: number): void {
		if (this.#closed) {
			return;
		}

		for (const hold of this.#held.set(this, bytes)) {
			hold.#closed = true;
			hold.#giveUp();
		}
	}

	close(): void {
		this.#closed = true;
		this.#held.delete(this);
	}
}
