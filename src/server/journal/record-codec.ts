import {Buffer} from 'node:buffer';
import {crc32c} from './crc32c.ts';

/** Bytes of a record's header: length of the text, checksum of that length, checksum of the text (32 bits each, little-endian). */
const headerBytes = 12;

/** Content of a journal: complete records, followed by nothing, a truncated record (`torn`) or damage. */
type DecodedJournal = {
	readonly records: readonly unknown[];
	/** Length of the complete records in bytes. */
	readonly validBytes: number;
	readonly tail: 'none' | 'torn' | 'damaged';
};

/** Encodes records as the bytes of a journal, and decodes them. A record is a header and its JSON text. */
export const recordCodec = {
	encode(records: readonly unknown[]): Buffer {
		const parts = records.map(record => encodeRecord(record));
		return Buffer.concat(parts);
	},

	/**
	 * Decodes records up to the first incomplete or damaged one. The tail is torn only if the file ends inside a record's
	 * header, or inside a text whose length has the right checksum; a wrong checksum of length or text is damage.
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
