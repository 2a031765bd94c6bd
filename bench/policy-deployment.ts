/** One deployment of the policy bench: its engines and services by region, its load and its weight of away. */
export type PolicyDeployment = {
	readonly name: string;
	readonly regions: readonly PolicyRegion[];
	readonly awayPenaltyMs: number;
	/** Longest time to the first byte. */
	readonly deadlineMs: number;
	/** Bytes of one request, which a forward sends over the link. */
	readonly bodyBytes: number;
	/** Mean output tokens of short and long answers, and the share of long ones. */
	readonly shortTokens: number;
	readonly longTokens: number;
	readonly longShare: number;
	/** Largest number of prompt blocks that the requests of one brief share. */
	readonly maxBriefBlocks: number;
	/** Round trip between two regions, in milliseconds. */
	readonly roundTripMs: number;
};

type PolicyRegion = {
	readonly name: string;
	readonly entries: number;
	/** Milliseconds of one token alone, for each engine. */
	readonly engines: readonly number[];
	/** Milliseconds of one call, for each plain service. */
	readonly services: readonly number[];
};
