/** State of one direction of a proxied link. */
export type LinkFault = {
	/** Nothing passes; bytes wait, as under lost packets. */
	blocked: boolean;
	/** One-way delay in milliseconds. */
	delayMs: number;
	/** Bytes per second; infinite for no limit. */
	bytesPerSecond: number;
};
