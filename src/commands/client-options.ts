/** Resolved options that all operator commands share. */
export type ClientOptions = {
	/** Addresses of the entries to try, in this order. */
	readonly entries: readonly string[];
	readonly key: string;
	readonly json: boolean;
};
