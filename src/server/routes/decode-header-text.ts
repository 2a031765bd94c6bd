/** Decodes percent-encoded text of a header; text that is not validly encoded is kept as it is. */
export function decodeHeaderText(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}
