/** State that may be forgotten if its kind takes too much memory. */
interface Forgetful {
	/** Memory that it takes, in bytes. */
	readonly bytes: number;
	/** Forgets its oldest entries until it takes `bytes` bytes less, or nothing. */
	forgetOldest(bytes: number): void;
}

/** Part of the bound down to which state is forgotten, so that not each entry at the bound searches for the oldest. */
const relief = 15 / 16;

/** Counts the memory that one kind of state takes in a process, over all places that keep some of it. */
export class StateBudget {
	readonly #forgetful = new Set<Forgetful>();
	#bytes = 0;

	/** @param maxBytes - Memory that the kind may take, in bytes. */
	constructor(readonly maxBytes: number) {}

	/** Memory that the kind takes, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	get isFull(): boolean {
		return this.#bytes >= this.maxBytes;
	}

	/** Adds a place whose state is forgotten, the oldest of the largest place first, when there is too much of the kind. */
	register(place: Forgetful): void {
		this.#forgetful.add(place);
	}

	/** Removes a place that keeps nothing any more. */
	unregister(place: Forgetful): void {
		this.#forgetful.delete(place);
	}

	add(bytes: number): void {
		this.#bytes += bytes;
		if (this.#bytes <= this.maxBytes) {
			return;
		}

		for (let largest = this.#largest(); largest !== undefined && this.#bytes > relief * this.maxBytes; largest = this.#largest()) {
			largest.forgetOldest(this.#bytes - (relief * this.maxBytes));
		}
	}

	remove(bytes: number): void {
		this.#bytes -= bytes;
	}

	#largest(): Forgetful | undefined {
		let largest: Forgetful | undefined;
		for (const place of this.#forgetful) {
			if (place.bytes > (largest?.bytes ?? 0)) {
				largest = place;
			}
		}

		return largest;
	}
}
