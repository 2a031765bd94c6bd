/** Totals over a region's targets of one service, sent to other regions instead of the single targets. */
export type ServiceSummary = {
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	readonly models: readonly string[];
	readonly targets: number;
	/** Number of requests that the targets can run concurrently. */
	readonly capacity: number;
	readonly running: number;
	readonly queued: number;
	/** Predicted milliseconds per output token, or per call of a plain service, for the next requests. */
	readonly typicalMs: number;
};
