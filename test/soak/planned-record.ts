import type {judgeCut} from './check-lost.ts';
import type {RefusedSending} from './refused-sending.ts';

/** One request of a soak of planned work, as its caller saw it, over all its sendings under one identifier; what does not name a sending is of the last one. Times by `performance.now()`. */
export type PlannedRecord = {
	readonly id: string;
	readonly path: string;
	/** Earlier sendings, in order; absent if there were none. */
	readonly refusedSendings?: readonly RefusedSending[];
	/** Name of the entry that the caller connected to. */
	entry: string;
	sentAt: number;
	/** Time within which the request is answered, by its own budget and its route's timeout, in milliseconds. */
	readonly budgetMs: number;
	/** Undefined until the last byte or the end of the channel. */
	endedAt?: number;
	/** `answered`: with a complete answer; `broken`: the channel ended before; `unreachable`: no channel to the entry. */
	outcome: 'answered' | 'broken' | 'unreachable';
	status?: number;
	/** Events that the caller has. */
	events: number;
	/** Why the channel ended before the answer was complete. */
	cutFor?: ReturnType<typeof judgeCut>;
	/** What is wrong with a complete answer. */
	problem?: string;
};
