import {Buffer} from 'node:buffer';

/** Whole events of a stream, with the id of the last one that has one. */
type CompleteEvents = {readonly bytes: Buffer; readonly count: number; readonly lastId?: string};

const newline = 0x0A;
const idFieldPattern = /^id: ?(.*)$/gmv;

/** Splits a stream of server-sent events at their ends; bytes are passed on unchanged. */
export class SseSplitter {
	#incomplete: Buffer = Buffer.alloc(0);

	/** Bytes of an event that has not ended yet. */
	get incomplete(): Buffer {
		return this.#incomplete;
	}

	/** Takes the next bytes; returns the events that are whole now, if any. */
	push(chunk: Buffer): CompleteEvents | undefined {
		const pending = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
		let end = 0;
		let count = 0;
		for (let index = pending.indexOf('\n\n', Math.max(0, this.#incomplete.length - 1)); index !== -1; index = pending.indexOf('\n\n', index + 2)) {
			end = index + 2;
			count += 1;
		}

		// A blank line of its own may follow an event's end.
		while (end > 0 && pending[end] === newline) {
			end += 1;
		}

		this.#incomplete = pending.subarray(end);
		if (end === 0) {
			return undefined;
		}

		const bytes = pending.subarray(0, end);
		return {bytes, count, lastId: findLastId(bytes.toString('utf8'))};
	}
}

function findLastId(text: string): string | undefined {
	let last: string | undefined;
	for (const match of text.matchAll(idFieldPattern)) {
		last = match[1]!.replace(/\r$/v, '');
	}

	return last;
}
