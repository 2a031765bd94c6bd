import type {Configuration} from './configuration.ts';
import type {LogEntry} from './log-entry.ts';

/** The configurations of the log by index; the newest one is in force, committed or not. */
export class ConfigurationHistory {
	#known: Array<{index: number; configuration: Configuration}> = [];

	get latest(): Configuration | undefined {
		return this.#known.at(-1)?.configuration;
	}

	/** Index of the newest configuration; 0 if there is none. */
	get latestIndex(): number {
		return this.#known.at(-1)?.index ?? 0;
	}

	at(index: number): Configuration | undefined {
		return this.#known.findLast(known => known.index <= index)?.configuration;
	}

	append({index, content}: LogEntry): void {
		if (content.type === 'configuration') {
			this.#known.push({index, configuration: content.configuration});
		}
	}

	truncate(from: number): void {
		this.#known = this.#known.filter(known => known.index < from);
	}

	/** Forgets what was replaced at or before an index. */
	compact(index: number): void {
		const keep = this.#known.findLastIndex(known => known.index <= index);
		this.#known = this.#known.slice(Math.max(0, keep));
	}

	reset(index: number, configuration: Configuration): void {
		this.#known = [{index, configuration}];
	}
}
