/** Castagnoli polynomial 0x1EDC6F41 with its bits reversed. */
const polynomial = 0x82_F6_3B_78;
const table = makeTable();

/** CRC-32C (Castagnoli) of a buffer. */
export function crc32c(bytes: Uint8Array): number {
	let crc = 0xFF_FF_FF_FF;
	for (const byte of bytes) {
		crc = table[(crc ^ byte) & 0xFF]! ^ (crc >>> 8);
	}

	return (crc ^ 0xFF_FF_FF_FF) >>> 0;
}

function makeTable(): Uint32Array {
	const entries = new Uint32Array(256);
	for (let index = 0; index < 256; index++) {
		let value = index;
		for (let bit = 0; bit < 8; bit++) {
			value = (value & 1) === 1 ? (value >>> 1) ^ polynomial : value >>> 1;
		}

		entries[index] = value;
	}

	return entries;
}
