/** What an entry has learned of a service's targets, as priors for entries and targets that have no measurements yet. Times are means at normal speed of the VMs, in milliseconds. */
export type ServiceCostSummary = {
	/** Time to prefill 1000 prompt tokens. */
	readonly prefillMsPer1000?: number;
	/** Time between two events of a stream. */
	readonly eventMs?: number;
	/** Duration of a call. */
	readonly callMs?: number;
	/** Slots of a target. */
	readonly slots?: number;
};
