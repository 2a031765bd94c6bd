/** A connection could not be made: nothing was sent on it, so the target has not got the request. The cause is the error of connecting. */
export class ConnectError extends Error {
	constructor(cause: Error) {
		super(cause.message, {cause});
		this.name = 'ConnectError';
	}
}
