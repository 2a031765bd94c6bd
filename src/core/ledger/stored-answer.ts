/** A whole answer kept for resends. */
export type StoredAnswer = {
	readonly status: number;
	readonly contentType: string;
	/** The body, base64. */
	readonly body: string;
};
