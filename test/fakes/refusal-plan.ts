/** How a stand-in engine refuses a request, and writes that refusal once more. */
export type RefusalPlan = {
	/** 421 says by itself that the request has not run. */
	readonly status: 421 | 429 | 503;
	/** `Retry-After`, in seconds; absent by default. */
	readonly retryAfter?: string;
	readonly body: string;
	/** Absent if the refusal is written once only. */
	readonly copies?: {
		/** `at-once`: after the refusal; `next`: once any further request has arrived on the connection; `again`: once the same request has. */
		readonly when: 'at-once' | 'next' | 'again';
		readonly count: number;
		/** Time from the refusal, or from the arrival of the later request, to the first part, in milliseconds. */
		readonly delayMs: number;
		/** Number of parts in which the copies are written. */
		readonly parts: number;
	};
};
