/** Outcome of one request of a run; times in milliseconds since the start of the run. */
export type PolicyRecord = {
	readonly kind: 'completion' | 'call';
	readonly organisation: string;
	readonly priority: number;
	readonly tokens: number;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** Time of the first byte. */
	firstAt?: number;
	/** Time of the end of a complete answer. */
	wholeAt?: number;
	refusal?: string;
	/** Whether a remote region served the request. */
	away: boolean;
};
