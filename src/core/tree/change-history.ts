import type {Change} from './change.ts';
import type {HistoryEntry} from './history-entry.ts';

/** Largest number of changes kept. */
const maxEntries = 1000;
/** Largest total number of operations in the kept changes; bounds the memory that bulk changes take. */
const maxOperations = 20_000;

/** The newest accepted changes, oldest first. */
export class ChangeHistory {
	#entries: HistoryEntry[] = [];
	#operations = 0;

	add(change: Change): void {
		this.#entries.push({revision: change.number, change});
		this.#operations += change.operations.length;
		let drop = 0;
		while (this.#entries.length - drop > maxEntries || (this.#operations > maxOperations && drop < this.#entries.length - 1)) {
			this.#operations -= this.#entries[drop]!.change.operations.length;
			drop += 1;
		}

		if (drop > 0) {
			this.#entries.splice(0, drop);
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
		this.#entries = [...entries];
		this.#operations = 0;
		for (const entry of entries) {
			this.#operations += entry.change.operations.length;
		}
	}
}
