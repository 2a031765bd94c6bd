/** Returns token number `index` of the answer to a prompt: the same on every engine, so that a caller can verify its answer character by character. */
export function answerToken(digest: string, index: number): string {
	return `${digest}.${index} `;
}
