/** Codes of errors raised for bytes that are no answer, beside those of the HTTP parser. */
const malformedErrorCodes = new Set(['UND_ERR_HEADERS_OVERFLOW', 'ERR_ANSWER_LIMIT', 'ERR_ANSWER_STATUS']);

/** True if the error's code says that a target sent bytes that are no answer; the target itself is up. */
export function isMalformedAnswer(code: string): boolean {
	return code.startsWith('HPE') || malformedErrorCodes.has(code);
}
