/** Why a request gets no target's answer. */
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
	/** The target failed, or its answer broke off. */
	| 'target-failed'
	| 'timeout';

/** A final answer of the gateway's own; `ran: 'no'` is a promise. */
export type EdgeRefusal = {
	readonly reason: EdgeRefusalReason;
	readonly ran: 'no' | 'maybe';
	/** When to come back, in milliseconds. */
	readonly retryAfterMs?: number;
};
