import {appendFileSync} from 'node:fs';
import type {RunLogLine} from './run-log-line.ts';

/** Appends what a target did to a file of JSON lines; written at once, so that nothing is lost by a kill. */
export class RunLog {
	readonly #file: string | undefined;
	readonly #origin: Pick<RunLogLine, 'target' | 'region' | 'zone' | 'service'>;

	constructor(file: string | undefined, origin: Pick<RunLogLine, 'target' | 'region' | 'zone' | 'service'>) {
		this.#file = file;
		this.#origin = origin;
	}

	write(entry: Omit<RunLogLine, 'at' | 'target' | 'region' | 'zone' | 'service'>): void {
		if (this.#file === undefined) {
			return;
		}

		const line: RunLogLine = {at: Date.now(), ...this.#origin, ...entry};
		appendFileSync(this.#file, JSON.stringify(line) + '\n');
	}
}
