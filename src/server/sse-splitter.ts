import {Buffer} from 'node:buffer';

/** Complete events of a stream; `lastId` is the id of the last event that carries one. */
type CompleteEvents = {readonly bytes: Buffer; readonly count: number; readonly lastId?: string};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;
const idFieldPattern = /^id: ?(.*)$/gmv;

/** Splits a stream of server-sent events after complete events and leaves the bytes unchanged. Lines end with LF, CRLF or CR. */
export class SseSplitter {
	#rest: Buffer = Buffer.alloc(0);
	#lineIsEmpty = true;
	#afterCarriageReturn = false;
	/** True if the rest has a field line, whole or in part; comments and blank lines alone are no event. */
	#insideEvent = false;

	/** Bytes after the last complete event. */
	get rest(): Buffer {
		return this.#rest;
	}

	/** Size of the last event if it has no end, in bytes: the stream was broken off if it ends here. */
	get incompleteBytes(): number {
		return this.#insideEvent ? this.#rest.length : 0;
	}

	/** Adds bytes; returns the events that they complete, if any. */
	push(chunk: Buffer): CompleteEvents | undefined {
		const scanned = this.#rest.length;
		const pending = scanned === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const {end, count} = this.#scan(pending, scanned);
		this.#rest = pending.subarray(end);
		if (end === 0) {
			return undefined;
		}

		const bytes = pending.subarray(0, end);
		return {bytes, count, lastId: findLastId(bytes.toString('utf8'))};
	}

	/** Reads on from `start`; returns the end of the last blank line, 0 if there is none, and the number of events that end. */
	#scan(bytes: Buffer, start: number): {end: number; count: number} {
		let end = 0;
		let count = 0;
		for (let index = start; index < bytes.length; index++) {
			const byte = bytes[index];
			if (byte === lineFeed && this.#afterCarriageReturn) {
				this.#afterCarriageReturn = false;
				// The line ended with its carriage return; if that was the end of an event, the line feed belongs to it.
				end = end === index ? index + 1 : end;
				continue;
			}

			this.#afterCarriageReturn = byte === carriageReturn;
			if (byte !== lineFeed && byte !== carriageReturn) {
				this.#insideEvent ||= this.#lineIsEmpty && byte !== colon;
				this.#lineIsEmpty = false;
				continue;
			}

			if (this.#lineIsEmpty) {
				count += this.#insideEvent ? 1 : 0;
				this.#insideEvent = false;
				end = index + 1;
			}

			this.#lineIsEmpty = true;
		}

		return {end, count};
	}
}

function findLastId(text: string): string | undefined {
	let last: string | undefined;
	for (const match of text.matchAll(idFieldPattern)) {
		last = match[1];
	}

	// A part of a string keeps the whole of it.
	return last === undefined ? undefined : Buffer.from(last, 'utf8').toString('utf8');
}
