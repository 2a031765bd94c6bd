type AnswerHeader = {readonly method: string; readonly status: number; readonly headerNames: Iterable<string>};

/** Header that states the length of the body, and the one that states that it comes in chunks. */
const framingHeaders = new Set(['content-length', 'transfer-encoding']);
const statusesWithoutBody = new Set([204, 304]);

/** True if an answer has a body with neither a length nor chunks: it ends with its connection (RFC 9112, section 6.3), so that its end alone does not show that it is complete. */
export function isUnframed({method, status, headerNames}: AnswerHeader): boolean {
	if (method === 'HEAD' || statusesWithoutBody.has(status)) {
		return false;
	}

	for (const name of headerNames) {
		if (framingHeaders.has(name.toLowerCase())) {
			return false;
		}
	}

	return true;
}
