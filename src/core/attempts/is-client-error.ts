/** Client errors that may pass: request timeout, too early, too many requests. */
const transientStatuses = new Set([408, 425, 429]);

/** True for a status that any target would answer the same request with. */
export function isClientError(status: number | undefined): boolean {
	return status !== undefined && status >= 400 && status < 500 && !transientStatuses.has(status);
}
