/** Reason why the gateway answers a request itself. */
type EdgeRefusalReason =
	/** No routes document is known yet. */
	| 'not-configured'
	| 'no-route'
	/** No target could start the request in time. */
	| 'overloaded'
	/** No target of the service can be used from here now. */
	| 'no-target'
	/** The entry is stopping. */
	| 'leaving'
	/** A forwarded request was decided under a newer routes document. */
	| 'outdated'
	/** The attempts failed, or the answer was cut off. */
	| 'target-failed'
	| 'timeout';

/** A final answer of the gateway's own. `ran: 'no'` guarantees that no target has run the request. */
export type EdgeRefusal = {
	readonly reason: EdgeRefusalReason;
	readonly ran: 'no' | 'maybe';
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryAfterMs?: number;
};
