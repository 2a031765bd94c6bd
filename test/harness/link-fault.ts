/** State of one direction of a proxied link. */
export type LinkFault = {
	/** Nothing passes; bytes wait, as under lost packets. */
	blocked: boolean;
	/** One-way delay in milliseconds. */
	delayMs: number;
	/** Share of packets that are lost: each waits for TCP to send it again, and what follows waits behind it. */
	loss: number;
	/** Bytes per second; infinite for no limit. */
	bytesPerSecond: number;
};
