/** Reason why an attempt gave no complete answer. */
export type AttemptFailure = {
	/**
	 * `connect`: no connection was made; `reset`: the connection broke; `truncated`: the answer ended early;
	 * `foreign-answer`: the answer belongs to another request; `malformed`: the answer is not valid HTTP.
	 */
	readonly reason: 'connect' | 'reset' | 'truncated' | 'foreign-answer' | 'malformed';
	/** True only if no byte of the request can have reached the target, so that it has not run. */
	readonly notSent: boolean;
};
