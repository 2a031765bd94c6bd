/** A sending of a request that was refused as not run. */
export type RefusedSending = {
	/** Name of the entry. */
	readonly entry: string;
	readonly sentAt: number;
	readonly status: number;
};
