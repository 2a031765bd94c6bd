/** One deployment of the policy bench: engines and services by region, load, and penalty for remote regions. */
export type PolicyDeployment = {
	readonly name: string;
	readonly regions: readonly PolicyRegion[];
	/** Setting `awayPenaltyMs`: predicted gain above which a request may be sent to a remote region, in milliseconds. */
	readonly awayPenaltyMs: number;
	/** Maximum time to the first byte, in milliseconds. */
	readonly deadlineMs: number;
	/** Size of a request body, in bytes; sent over the link between regions when the request is forwarded. */
	readonly bodyBytes: number;
	/** Mean output tokens of short and long answers, and the share of long answers. */
	readonly shortTokens: number;
	readonly longTokens: number;
	readonly longShare: number;
	/** Maximum number of prompt blocks that the requests of one brief share. */
	readonly maxBriefBlocks: number;
	/** Round-trip time between two regions, in milliseconds. */
	readonly roundTripMs: number;
};

type PolicyRegion = {
	readonly name: string;
	readonly entries: number;
	/** Milliseconds per output token in a batch of one, for each engine. */
	readonly engines: readonly number[];
	/** Milliseconds per call without concurrent calls, for each plain service. */
	readonly services: readonly number[];
};
