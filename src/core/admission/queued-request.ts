import type {Millis} from '../ids/millis.ts';

/** A request that waits for room, with what decides its place in the queue. */
export type QueuedRequest<Item> = {
	readonly item: Item;
	/** Lower values are more urgent. */
	readonly priority: number;
	/** Requests of one class are of the same kind: none of them is passed over without bound. */
	readonly className: string;
	/** Number of its tokens, or 1 for a call. */
	readonly work: number;
	/** Time until which it meets its latency objective if a target gets it. */
	readonly onTimeUntil: Millis;
	readonly deadlineAt: Millis;
	readonly queuedAt: Millis;
	/** Time from its sending to its start as predicted when it was queued, in milliseconds. */
	readonly startMs: number;
	/** Time until it gets room as predicted when it was queued, in milliseconds. */
	readonly waitMs: number;
	/** True if it waits for the end of a pause, since no target could take it. */
	forPause: boolean;
	/** Requests behind it that were placed while it waited. */
	bypasses: number;
	/** Time since which requests behind it are kept from taking its room. */
	reservedSince?: Millis;
};
