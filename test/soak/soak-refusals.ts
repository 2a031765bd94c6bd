/** Counts over all targets of a soak. */
export type SoakRefusals = {
	/** Refusals of requests by targets that answer well otherwise. */
	readonly refused: number;
	/** Refusals that were written once more. */
	readonly copied: number;
	/** Refusals that were written once more while the same request was under way again on their connection. */
	readonly copiedInProgress: number;
	/** Requests that were sent on a connection on which their target worked on another one. */
	readonly sentBesideRuns: number;
	/** Times that a target took a new id at its address. */
	readonly newIds: number;
	/** Connections that targets accepted. */
	readonly connections: number;
};
