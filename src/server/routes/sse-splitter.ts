import {Buffer} from 'node:buffer';

/** Complete events of a stream; `lastId` is the id of the last event that carries one. */
type CompleteEvents = {readonly bytes: Buffer; readonly count: number; readonly lastId?: string};

const newline = 0x0A;
const idFieldPattern = /^id: ?(.*)$/gmv;

/** Splits a stream of server-sent events after complete events and leaves the bytes unchanged. */
export class SseSplitter {
	#incomplete: Buffer = Buffer.alloc(0);

	/** Bytes of the last, still incomplete event. */
	get incomplete(): Buffer {
		return this.#incomplete;
	}

	/** Adds bytes; returns the events that they complete, if any. */
	push(chunk: Buffer): CompleteEvents | undefined {
		const pending = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
		let end = 0;
		let count = 0;
		for (let index = pending.indexOf('\n\n', Math.max(0, this.#incomplete.length - 1)); index !== -1; index = pending.indexOf('\n\n', index + 2)) {
			end = index + 2;
			count += 1;
		}

		// Further blank lines may follow the end of an event.
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
