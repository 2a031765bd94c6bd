/** What a control node holds of the replicated log; those of a majority of the voters show whether a change of the routes may be missing in all of them. */
export type LogView = {
	/** The node with its data folder, see `memberKey`. */
	readonly member: string;
	/** End of its log. */
	readonly lastTerm: number;
	readonly lastIndex: number;
	readonly commitIndex: number;
	/** Index of the newest change of the routes that is not known to be committed; absent if there is none. */
	readonly pendingIndex?: number;
	/** Voters that the node goes by, with their data folders. */
	readonly voters: readonly string[];
};
