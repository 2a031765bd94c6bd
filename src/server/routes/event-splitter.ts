import {Buffer} from 'node:buffer';

/** Whole events of a stream, with the id of the last one that has one. */
type Events = {readonly bytes: Buffer; readonly count: number; readonly lastId?: string};

const newline = 0x0A;
const idField = /^id: ?(.*)$/gmv;

/** Splits a stream of server-sent events at their ends; bytes are passed on unchanged. */
export class EventSplitter {
	#rest: Buffer = Buffer.alloc(0);

	/** Bytes of an event that has not ended yet. */
	get rest(): Buffer {
		return this.#rest;
	}

	/** Takes the next bytes; returns the events that are whole now, if any. */
	push(chunk: Buffer): Events | undefined {
		const pending = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		let end = 0;
		let count = 0;
		for (let index = pending.indexOf('\n\n', Math.max(0, this.#rest.length - 1)); index !== -1; index = pending.indexOf('\n\n', index + 2)) {
			end = index + 2;
			count += 1;
		}

		// A blank line of its own may follow an event's end.
		while (end > 0 && pending[end] === newline) {
			end += 1;
		}

		this.#rest = pending.subarray(end);
		if (end === 0) {
			return undefined;
		}

		const bytes = pending.subarray(0, end);
		return {bytes, count, lastId: lastIdOf(bytes.toString('utf8'))};
	}
}

function lastIdOf(text: string): string | undefined {
	let last: string | undefined;
	for (const match of text.matchAll(idField)) {
		last = match[1]!.replace(/\r$/v, '');
	}

	return last;
}
