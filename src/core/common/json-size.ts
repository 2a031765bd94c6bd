/** Codes of the characters that are escaped with one more byte: a quotation mark, a backslash and the common control characters. */
const shortEscapes = new Set([...'"\\\b\t\n\f\r'].map(character => character.codePointAt(0)));

/** Size of a value's JSON text in UTF-8, in bytes. Serialises nothing, so that it can be taken of large documents. */
export function jsonSize(value: unknown): number {
	if (typeof value === 'string') {
		return textSize(value);
	}

	if (typeof value !== 'object' || value === null) {
		return JSON.stringify(value)?.length ?? 0;
	}

	if (Array.isArray(value)) {
		return value.reduce((sum: number, item) => sum + (item === undefined ? 'null'.length : jsonSize(item)) + 1, 2);
	}

	let size = 2;
	for (const [key, item] of Object.entries(value)) {
		if (item !== undefined) {
			// The colon and the comma.
			size += textSize(key) + jsonSize(item) + 2;
		}
	}

	return size;
}

/** Size of a JSON string with its quotes. */
function textSize(text: string): number {
	let size = 2 + text.length;
	for (let index = 0; index < text.length; index++) {
		const code = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point -- halves of a surrogate pair are counted one by one: two bytes each
		if (code < 0x20 || code === 0x22 || code === 0x5C) {
			size += shortEscapes.has(code) ? 1 : 5;
		} else if (code >= 0x80) {
			size += code >= 0x8_00 && (code < 0xD8_00 || code > 0xDF_FF) ? 2 : 1;
		}
	}

	return size;
}
