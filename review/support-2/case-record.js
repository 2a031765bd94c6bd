import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';

/** The record of one run of a case: what was sent, answered and run, with the seconds since its start. */
export class CaseRecord {
	#lines = [];
	#startedAt = performance.now();
	#file;

	/** @param folder - Folder of the case; `record.txt` in it is replaced. */
	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
	}

	add(text) {
		const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)}  ${text}`;
		this.#lines.push(line);
		console.log(line);
	}

	write() {
		writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}
