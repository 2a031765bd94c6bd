/** One row of the policy bench. */
export type PolicyRow = {
	readonly deployment: string;
	readonly scenario: string;
	readonly loadShare: number;
	readonly policy: string;
	/** Times of completions that were answered, in milliseconds. */
	readonly p50TtftMs: number;
	readonly p99TtftMs: number;
	readonly p50WholeMs: number;
	readonly p99WholeMs: number;
	/** Busy time of all engines. */
	readonly engineSeconds: number;
	/** Prompt tokens computed though some engine computed them before. */
	readonly recomputedPrefillTokens: number;
	/** Share of the requests answered by another region than their own. */
	readonly awayShare: number;
	/** Output tokens of answers begun within the deadline, relative to what was offered or, if less, the engines' capacity. */
	readonly goodputShare: number;
	/** Requests refused, by result. */
	readonly refusals: Readonly<Record<string, number>>;
	/** Jain's index over the organisations' shares of answered requests. */
	readonly jain: number;
};
