/** Faults of one direction of a proxied link. */
export type LinkFault = {
	/** Nothing is delivered; bytes are queued, as when all packets are lost. */
	blocked: boolean;
	/** One-way delay in milliseconds. */
	delayMs: number;
	/** Share of packets that are lost, from 0 to 1: each is delayed by its TCP retransmission, and so are the bytes behind it. */
	loss: number;
	/** Bandwidth in bytes per second; `Infinity` for no limit. */
	bytesPerSecond: number;
};
