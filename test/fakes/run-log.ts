import {appendFileSync} from 'node:fs';
import type {RunLogLine} from './run-log-line.ts';

/** Appends events of a target to a JSON Lines file; writes synchronously, so that a killed process loses no line. */
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
