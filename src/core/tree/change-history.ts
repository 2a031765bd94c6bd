import {jsonSize} from '../common/json-size.ts';
import type {Change} from './change.ts';
import type {HistoryEntry} from './history-entry.ts';

/** Largest number of changes kept. */
const maxEntries = 1000;
/** Largest total size of the kept changes, in bytes of JSON; the newest one may exceed this alone. */
const maxBytes = 8_388_608;

/** The newest accepted changes, oldest first. */
export class ChangeHistory {
	#entries: HistoryEntry[] = [];
	/** Size of each kept change, in bytes of JSON. */
	#sizes: number[] = [];
	#bytes = 0;

	add(change: Change): void {
		this.#push({revision: change.number, change});
		let drop = 0;
		while (this.#entries.length - drop > maxEntries || (this.#bytes > maxBytes && drop < this.#entries.length - 1)) {
			this.#bytes -= this.#sizes[drop]!;
			drop += 1;
		}

		if (drop > 0) {
			this.#entries.splice(0, drop);
			this.#sizes.splice(0, drop);
		}
	}

	newest(limit: number): readonly HistoryEntry[] {
		return this.#entries.slice(-Math.max(1, limit)).reverse();
	}

	at(revision: number): HistoryEntry | undefined {
		const first = this.#entries[0]?.revision ?? 0;
		return this.#entries[revision - first];
	}

	/** Changes after a revision, oldest first; undefined if some of them are no longer kept. */
	since(revision: number): readonly Change[] | undefined {
		const first = this.#entries[0]?.revision;
		if (first === undefined || revision + 1 < first) {
			return undefined;
		}

		return this.#entries.slice(revision + 1 - first).map(entry => entry.change);
	}

	all(): readonly HistoryEntry[] {
		return [...this.#entries];
	}

	restore(entries: readonly HistoryEntry[]): void {
		this.#entries = [];
		this.#sizes = [];
		this.#bytes = 0;
		for (const entry of entries) {
			this.#push(entry);
		}
	}

	#push(entry: HistoryEntry): void {
		const size = jsonSize(entry.change);
		this.#entries.push(entry);
		this.#sizes.push(size);
		this.#bytes += size;
	}
}
