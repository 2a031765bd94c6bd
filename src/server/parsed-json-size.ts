/** Memory of a parsed list or object, of an item or a field, and of a string beside its characters, in bytes. */
const containerBytes = 64;
const itemBytes = 24;
const stringBytes = 24;
/** Last character that V8 keeps in one byte. */
const maxLatin1 = 0xFF;

/** Estimates the memory that the values of a JSON text take once it is parsed, in bytes. The text need not be valid. */
export function parsedJsonSize(text: string): number {
	let size = 0;
	for (let index = 0; index < text.length; index++) {
		switch (text.charAt(index)) {
			case '"': {
				const end = endOfString(text, index + 1);
				size += stringBytes + ((end - index) * (isWide(text, index, end) ? 2 : 1));
				index = end;
				break;
			}

			case ',': {
				size += itemBytes;
				break;
			}

			case '[':
			case '{': {
				size += containerBytes;
				break;
			}

			default: {
				break;
			}
		}
	}

	return size;
}

/** Index of the quotation mark that ends a string, or the length of the text. */
function endOfString(text: string, start: number): number {
	let index = start;
	while (index < text.length && text[index] !== '"') {
		index += text[index] === '\\' ? 2 : 1;
	}

	return index;
}

/** True if a part of the text has a character beyond Latin-1: V8 then keeps each of its characters in two bytes. */
function isWide(text: string, start: number, end: number): boolean {
	for (let index = start; index < end; index++) {
		if (text.codePointAt(index)! > maxLatin1) {
			return true;
		}
	}

	return false;
}
