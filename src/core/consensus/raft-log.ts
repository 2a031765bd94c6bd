import type {LogEntry} from './log-entry.ts';

/** The log entries in memory, without gaps from `baseIndex + 1` on. */
export class RaftLog {
	#entries: LogEntry[] = [];
	#baseIndex = 0;
	#baseTerm = 0;

	/** Index of the last entry that a snapshot has replaced, 0 if there is none: entries up to it are not held. */
	get baseIndex(): number {
		return this.#baseIndex;
	}

	get lastIndex(): number {
		return this.#baseIndex + this.#entries.length;
	}

	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? this.#baseTerm;
	}

	/** Term of an entry; undefined if the log does not hold it. */
	term(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.at(index)?.term;
	}

	at(index: number): LogEntry | undefined {
		return this.#entries[index - this.#baseIndex - 1];
	}

	append(entry: LogEntry): void {
		this.#entries.push(entry);
	}

	truncate(from: number): void {
		this.#entries.length = Math.max(0, from - this.#baseIndex - 1);
	}

	/** Entries from an index on, at most `count`. */
	slice(from: number, count = Number.MAX_SAFE_INTEGER): readonly LogEntry[] {
		const start = from - this.#baseIndex - 1;
		return this.#entries.slice(start, start + count);
	}

	/** Drops the entries up to an index, whose entry the log must hold. */
	compact(index: number): void {
		if (index <= this.#baseIndex) {
			return;
		}

		const term = this.term(index)!;
		this.#entries = this.#entries.slice(index - this.#baseIndex);
		this.#baseIndex = index;
		this.#baseTerm = term;
	}

	/** Drops all entries and continues after a snapshot. */
	reset(index: number, term: number): void {
		this.#entries = [];
		this.#baseIndex = index;
		this.#baseTerm = term;
	}
}
