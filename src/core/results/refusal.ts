import type {ResultName} from './result-name.ts';

/** A final answer that is not the target's. */
export type Refusal = {
	readonly result: ResultName;
	/** `no` only if it is certain that no target ran any part of the request. */
	readonly ran: 'no' | 'maybe';
	/** When it makes sense to come back; absent if coming back cannot help. */
	readonly retryAfterMs?: number;
	/** One sentence for people, in addition to the result's title. */
	readonly detail?: string;
};
