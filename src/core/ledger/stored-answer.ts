/** A complete answer, stored for retries of the caller's request. */
export type StoredAnswer = {
	readonly status: number;
	readonly contentType: string;
	/** The body in base64. */
	readonly body: string;
};
