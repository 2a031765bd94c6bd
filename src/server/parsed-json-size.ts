/** Memory of a parsed list or object, of an item or a field, and of a string beside its characters, in bytes. */
const containerBytes = 64;
const itemBytes = 24;
const stringBytes = 24;

/** Estimates the memory that the values of a JSON text take once it is parsed, in bytes. The text need not be valid. */
export function parsedJsonSize(text: string): number {
	let size = 0;
	for (let index = 0; index < text.length; index++) {
		switch (text.charAt(index)) {
			case '"': {
				const end = endOfString(text, index + 1);
				size += stringBytes + end - index;
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
