/** What the body of an answer is, and how its end is found. */
export type AnswerBody = {
	/** `other` also stands for encoded bodies, which are passed on without being read. */
	readonly format: 'events' | 'json' | 'other';
	/** True if the body has neither a length nor chunks: it ends with its connection (RFC 9112, section 6.3), so that its end alone does not show that it is complete. */
	readonly unframed: boolean;
	/** False for a success without a length or chunks: one that has no body sends a length of 0, so that its target has stopped after the head. */
	readonly mayBeEmpty: boolean;
};
