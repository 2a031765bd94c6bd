/** Options that all operators' commands share, resolved. */
export type ClientOptions = {
	/** Entries to ask, in order. */
	readonly entries: readonly string[];
	readonly key: string;
	readonly json: boolean;
};
