/** Token number `index` of the answer to a prompt: the same on every engine, so that a caller can check its answer to the letter. */
export function answerToken(digest: string, index: number): string {
	return `${digest}.${index} `;
}
