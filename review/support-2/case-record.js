import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** The record of one run of a case: what was sent, answered and run, with the seconds since its start. */
export class CaseRecord {
	#lines = [];
	#startedAt = performance.now();
	#file;

	/** @param file - The `record.txt` of the case, which is replaced. */
	constructor(file) {
		this.#file = file;
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
