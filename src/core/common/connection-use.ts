/** The connection that carried a request, and what it had carried before. */
export type ConnectionUse = {
	/** Number of the connection in its process. */
	readonly connection: number;
	readonly earlierRequests: number;
	/** True if the same request is among them, so that an answer on this connection may be its earlier one. The pool never lets that happen; the log shows it. */
	readonly isRepeat: boolean;
};
