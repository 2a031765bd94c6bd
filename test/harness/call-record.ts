/** What one caller saw of one sending of a request. */
export type CallRecord = {
	readonly load: string;
	/** The same for all sendings of a request. */
	readonly digest: string;
	readonly key?: string;
	readonly sending: number;
	readonly region: string;
	readonly organisation: string;
	readonly entry: string;
	readonly sentAt: number;
	readonly endAt: number;
	/** `broken`: the answer ended or never came without a word; `wrong`: it claimed to be whole and was not the request's own. */
	readonly outcome: 'whole' | 'refused' | 'broken' | 'wrong' | 'hung' | 'gave-up';
	readonly result?: string;
	readonly ran?: 'no' | 'maybe';
	readonly retryAfterMs?: number;
	readonly detail?: string;
};
