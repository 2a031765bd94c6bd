/** Undelivered loads of a deployment's weight store, as last committed to the replicated log. */
export type WeightBudget = {
	readonly deployment: string;
	/** Bytes that the store still had to deliver for ordered and reserved loads. */
	readonly bytes: number;
	/** Time of the proposal in milliseconds, on the monotonic clock of the leader that made it; the leader recognises its proposal by this. */
	readonly at: number;
};
