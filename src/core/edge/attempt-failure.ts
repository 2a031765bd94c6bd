/** Why an attempt gave no whole answer. */
export type AttemptFailure = {
	readonly reason: 'connect' | 'reset' | 'truncated' | 'foreign-answer' | 'malformed';
	/** True only if no byte of the request can have reached the target. */
	readonly notSent: boolean;
};
