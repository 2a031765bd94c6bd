/** Use of a deployment's weight-store budget, as last decided by the replicated log. */
export type WeightBudget = {
	readonly deployment: string;
	/** Bytes taken from the budget. */
	readonly bytes: number;
	/** Wall-clock time of the decision, in milliseconds. */
	readonly at: number;
};
