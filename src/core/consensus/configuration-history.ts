import type {Configuration} from './configuration.ts';
import type {LogEntry} from './log-entry.ts';

/** The configurations of the log by index; the newest one is in force, committed or not. */
export class ConfigurationHistory {
	#configurations: Array<{index: number; configuration: Configuration}> = [];

	get latest(): Configuration | undefined {
		return this.#configurations.at(-1)?.configuration;
	}

	/** Index of the newest configuration; 0 if there is none. */
	get latestIndex(): number {
		return this.#configurations.at(-1)?.index ?? 0;
	}

	at(index: number): Configuration | undefined {
		return this.#configurations.findLast(known => known.index <= index)?.configuration;
	}

	append({index, content}: LogEntry): void {
		if (content.type === 'configuration') {
			this.#configurations.push({index, configuration: content.configuration});
		}
	}

	truncate(from: number): void {
		this.#configurations = this.#configurations.filter(known => known.index < from);
	}

	/** Forgets what was replaced at or before an index. */
	compact(index: number): void {
		const keep = this.#configurations.findLastIndex(known => known.index <= index);
		this.#configurations = this.#configurations.slice(Math.max(0, keep));
	}

	reset(index: number, configuration: Configuration): void {
		this.#configurations = [{index, configuration}];
	}
}
