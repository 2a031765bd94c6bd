import {jsonSize} from '../common/json-size.ts';
import type {LogEntry} from './log-entry.ts';

/** The log entries in memory, without gaps from `baseIndex + 1` on, and their sizes. */
export class RaftLog {
	#entries: LogEntry[] = [];
	/** Total size of the entries appended up to each one in memory, in bytes of JSON; counted from the last `reset`. */
	#sizes: number[] = [];
	#baseIndex = 0;
	#baseTerm = 0;
	#baseSize = 0;

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

	/** Total size of the held entries after index `after` up to index `last`, in bytes of JSON. */
	size(after: number, last: number): number {
		return Math.max(0, this.#sizeUpTo(last) - this.#sizeUpTo(after));
	}

	append(entry: LogEntry): void {
		this.#sizes.push(this.#sizeUpTo(this.lastIndex) + jsonSize(entry));
		this.#entries.push(entry);
	}

	truncate(from: number): void {
		this.#entries.length = Math.max(0, from - this.#baseIndex - 1);
		this.#sizes.length = this.#entries.length;
	}

	/** Entries from an index on, at most `count` and, from the second one on, at most `bytes` in all. */
	slice(from: number, count = Number.MAX_SAFE_INTEGER, bytes = Number.POSITIVE_INFINITY): readonly LogEntry[] {
		const start = from - this.#baseIndex - 1;
		let end = Math.min(start + count, this.#entries.length);
		while (end > start + 1 && this.size(from - 1, this.#baseIndex + end) > bytes) {
			end -= 1;
		}

		return this.#entries.slice(start, end);
	}

	/** Drops the entries up to an index, whose entry the log must hold. */
	compact(index: number): void {
		if (index <= this.#baseIndex) {
			return;
		}

		const term = this.term(index)!;
		const size = this.#sizeUpTo(index);
		this.#entries = this.#entries.slice(index - this.#baseIndex);
		this.#sizes = this.#sizes.slice(index - this.#baseIndex);
		this.#baseIndex = index;
		this.#baseTerm = term;
		this.#baseSize = size;
	}

	/** Drops all entries and continues after a snapshot. */
	reset(index: number, term: number): void {
		this.#entries = [];
		this.#sizes = [];
		this.#baseIndex = index;
		this.#baseTerm = term;
		this.#baseSize = 0;
	}

	#sizeUpTo(index: number): number {
		const position = Math.min(index, this.lastIndex) - this.#baseIndex - 1;
		return position < 0 ? this.#baseSize : this.#sizes[position]!;
	}
}
