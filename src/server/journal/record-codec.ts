import {Buffer} from 'node:buffer';
import {crc32c} from './crc32c.ts';

/** Bytes before a record's text: its length, a checksum of the length, a checksum of the text. */
const headerBytes = 12;

/** What stands in a journal: whole records, then nothing, a record cut short, or damage. */
type DecodedJournal = {
	readonly records: readonly unknown[];
	/** Bytes of the whole records. */
	readonly validBytes: number;
	readonly tail: 'none' | 'torn' | 'damaged';
};

/** Turns records into the bytes of a journal and back. */
export const recordCodec = {
	encode(records: readonly unknown[]): Buffer {
		const parts = records.map(record => encodeRecord(record));
		return Buffer.concat(parts);
	},

	/**
	 * Reads records up to the first that is not whole. Only a file that ends inside a record is torn:
	 * a wrong checksum of a record whose bytes are all there is damage.
	 */
	decode(bytes: Buffer): DecodedJournal {
		const records: unknown[] = [];
		let length = 0;
		while (length < bytes.length) {
			const text = readText(bytes, length);
			if (typeof text === 'string') {
				return {records, validBytes: length, tail: text};
			}

			records.push(JSON.parse(text.toString('utf8')));
			length += headerBytes + text.length;
		}

		return {records, validBytes: length, tail: 'none'};
	},
};

function encodeRecord(record: unknown): Buffer {
	const text = Buffer.from(JSON.stringify(record), 'utf8');
	const header = Buffer.alloc(headerBytes);
	header.writeUInt32LE(text.length, 0);
	header.writeUInt32LE(crc32c(header.subarray(0, 4)), 4);
	header.writeUInt32LE(crc32c(text), 8);
	return Buffer.concat([header, text]);
}

function readText(bytes: Buffer, offset: number): Buffer | 'torn' | 'damaged' {
	const start = offset + headerBytes;
	if (start > bytes.length) {
		return 'torn';
	}

	if (bytes.readUInt32LE(offset + 4) !== crc32c(bytes.subarray(offset, offset + 4))) {
		return 'damaged';
	}

	const end = start + bytes.readUInt32LE(offset);
	if (end > bytes.length) {
		return 'torn';
	}

	const text = bytes.subarray(start, end);
	return bytes.readUInt32LE(offset + 8) === crc32c(text) ? text : 'damaged';
}
