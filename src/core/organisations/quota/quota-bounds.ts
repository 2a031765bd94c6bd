/** Bound on what an organisation may send to targets in each sliding window, over all entries: (rate x window + burst) x (1 + `overage`) + `slack`. */
export type QuotaBounds = {
	readonly windowMs: number;
	/** Share of the quota by which it may be exceeded. */
	readonly overage: number;
	/** Tokens by which it may be exceeded besides; does not apply to quotas of requests. */
	readonly slack: number;
};
