/** Sums over a region's targets of one service; what other regions get instead of every target. */
export type ServiceSummary = {
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	readonly models: readonly string[];
	readonly targets: number;
	/** Requests that the targets can work on at once. */
	readonly capacity: number;
	readonly running: number;
	readonly queued: number;
	/** Milliseconds between output tokens, or of one call for a plain service, that the next requests are predicted to get. */
	readonly typicalMs: number;
};
