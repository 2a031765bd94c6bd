/** Reason why an attempt gave no complete answer. */
export type AttemptFailure = {
	readonly reason: 'connect' | 'reset' | 'truncated' | 'foreign-answer' | 'malformed';
	/** True only if no byte of the request can have reached the target, so that it has not run. */
	readonly notSent: boolean;
};
