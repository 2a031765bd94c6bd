import type {ResultName} from './result-name.ts';

/** A final answer to a request that does not come from a target. */
export type Refusal = {
	readonly result: ResultName;
	/** Whether the request ran: `no` only if it is certain that no target ran any part of it. */
	readonly ran: 'no' | 'maybe';
	/** Time until a retry makes sense, in milliseconds; absent if a retry cannot help. */
	readonly retryAfterMs?: number;
	/** One sentence for people, in addition to the result's title. */
	readonly detail?: string;
};
