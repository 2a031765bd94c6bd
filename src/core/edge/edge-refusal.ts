/** Reason why the gateway answers a request itself. */
type EdgeRefusalReason =
	/** No routes document is known yet. */
	| 'not-configured'
	| 'no-route'
	/** The route needs a key, and the request has none or one that no organisation has. */
	| 'unauthorized'
	/** The same for a key that a newer document may have: this entry may be behind. */
	| 'key-unverified'
	/** The organisation has used its quota. */
	| 'quota'
	/** No target could start the request in time. */
	| 'overloaded'
	/** No target of the service can be used from here now. */
	| 'no-target'
	/** All targets that could take the request asked for pauses that end too late for it. */
	| 'paused'
	/** It is unknown at which software version the stream began that the request takes up. */
	| 'origin-unknown'
	/** The request has a trait that crashes targets. */
	| 'contained'
	/** The entry is stopping. */
	| 'leaving'
	/** The entry that forwarded the request applied another routes document: a newer one, or an older one under which its route led elsewhere or the request might run more than once. */
	| 'outdated'
	/** The attempts failed, or the answer was cut off. */
	| 'target-failed'
	/** The deadline passed, and the request may have run. */
	| 'timeout';

/** A final answer of the gateway's own. `ran: 'no'` guarantees that no target has run the request. */
export type EdgeRefusal = {
	readonly reason: EdgeRefusalReason;
	readonly ran: 'no' | 'maybe';
	/** True if a target got the request, though it may have turned it away. */
	readonly reachedTarget: boolean;
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryAfterMs?: number;
};
