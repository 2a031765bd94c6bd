/** Client error statuses that may succeed on a retry: request timeout, too early, too many requests. */
const transientStatuses = new Set([408, 425, 429]);

/** True for a client error status that every target would return for the same request. */
export function isClientError(status: number | undefined): boolean {
	return status !== undefined && status >= 400 && status < 500 && !transientStatuses.has(status);
}
