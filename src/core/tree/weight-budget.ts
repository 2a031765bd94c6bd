/** Use of a deployment's weight-store budget, as last committed to the replicated log. */
export type WeightBudget = {
	readonly deployment: string;
	/** Bytes used from the budget. */
	readonly bytes: number;
	/** Wall-clock time of the decision, in milliseconds. */
	readonly at: number;
};
