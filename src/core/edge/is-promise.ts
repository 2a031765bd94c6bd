/** Statuses by which callers take a request for not run: they send it again, though it may run once at most. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** True if the status tells a caller that its request has not run and never will. */
export function isPromise(status: number): boolean {
	return promiseStatuses.has(status);
}
