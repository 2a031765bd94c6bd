/** True for the status of an answer that serves the request. */
export function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}
