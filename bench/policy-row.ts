/** One row of the policy bench. */
export type PolicyRow = {
	readonly deployment: string;
	readonly scenario: string;
	readonly loadShare: number;
	readonly policy: string;
	/** Time to first token and to the complete answer of answered completions, in milliseconds. */
	readonly p50TtftMs: number;
	readonly p99TtftMs: number;
	readonly p50WholeMs: number;
	readonly p99WholeMs: number;
	/** Total busy time of all engines, in seconds. */
	readonly engineSeconds: number;
	/** Prompt tokens computed again although some engine had computed them before. */
	readonly recomputedPrefillTokens: number;
	/** Share of the requests answered by a remote region. */
	readonly awayShare: number;
	/** Output tokens of answers that started within the deadline, relative to the offered tokens or the engines' capacity, whichever is less. */
	readonly goodputShare: number;
	/** Number of refused and unfinished requests by result. */
	readonly refusals: Readonly<Record<string, number>>;
	/** Jain's fairness index over the organisations' shares of answered requests. */
	readonly jain: number;
};
