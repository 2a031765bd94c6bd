/** Outcome of one attempt of a caller to send a request, as the caller saw it. Times are wall-clock milliseconds. */
export type CallRecord = {
	readonly load: string;
	/** Digest of the request's content: the same for the first sending and all retries. */
	readonly digest: string;
	readonly key?: string;
	/** 0 for the first sending of the request, then the number of the retry. */
	readonly sending: number;
	readonly region: string;
	readonly organisation: string;
	readonly entry: string;
	readonly sentAt: number;
	readonly endAt: number;
	/**
	 * `whole`: complete and correct; `refused`: an error answer that could be parsed; `broken`: the connection failed, the stream ended without its end marker, or the body could not be parsed;
	 * `wrong`: complete, but not the answer to this request, or an error answer that could not be parsed; `hung`: no answer within 60 s or more; `gave-up`: no answer within a shorter limit of the load.
	 */
	readonly outcome: 'whole' | 'refused' | 'broken' | 'wrong' | 'hung' | 'gave-up';
	readonly result?: string;
	readonly ran?: 'no' | 'maybe';
	readonly retryAfterMs?: number;
	readonly detail?: string;
};
