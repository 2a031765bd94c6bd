import type {Configuration} from './configuration.ts';
import type {LogEntry} from './log-entry.ts';

/** Configurations in the log by index. The newest one is in force, whether committed or not. */
export class ConfigurationHistory {
	#configurations: Array<{index: number; configuration: Configuration}> = [];

	get latest(): Configuration | undefined {
		return this.#configurations.at(-1)?.configuration;
	}

	/** Index of the newest configuration; 0 if there is none. */
	get latestIndex(): number {
		return this.#configurations.at(-1)?.index ?? 0;
	}

	/** The configuration in force at an index. */
	at(index: number): Configuration | undefined {
		return this.#configurations.findLast(entry => entry.index <= index)?.configuration;
	}

	append({index, content}: LogEntry): void {
		if (content.type === 'configuration') {
			this.#configurations.push({index, configuration: content.configuration});
		}
	}

	truncate(from: number): void {
		this.#configurations = this.#configurations.filter(entry => entry.index < from);
	}

	/** Drops the configurations that were replaced at or before an index. */
	compact(index: number): void {
		const firstKept = this.#configurations.findLastIndex(entry => entry.index <= index);
		this.#configurations = this.#configurations.slice(Math.max(0, firstKept));
	}

	reset(index: number, configuration: Configuration): void {
		this.#configurations = [{index, configuration}];
	}
}
