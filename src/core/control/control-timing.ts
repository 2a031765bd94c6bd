/** Times of control nodes and of the entries that follow them, in milliseconds; from the bounds of letter 2's deployments. */
export const controlTiming = {
	/** Time between two statuses of an entry, and between two messages of control nodes to each other. */
	statusIntervalMs: 500,
	/** Time without a feed after which an entry follows another control node. */
	feedTimeoutMs: 1600,
	/** Time for which a control node that failed an entry is tried last. */
	avoidFailedNodeMs: 5000,
	/** Time without a status after which an entry gets no more feeds. */
	followLeaseMs: 2500,
	/** Time without hearing the leader after which a control node calls itself out of touch. */
	maxLeaderSilenceMs: 1500,
	/** Time behind the leader's commits after which a control node calls itself out of touch: two ways between regions and a sync. */
	maxLagMs: 500,
	/** Time an operator's call is worked on before it is answered as unavailable; callers wait about a second. */
	callTimeoutMs: 1500,
	/** Time after which a call is sent to the leader again. */
	callRetryMs: 600,
	/** Silence after which a voter is replaced by a standby, if there is one. */
	replaceVoterMs: 800,
	/** Silence after which a control node that is neither a seed nor a voter is no longer written to. */
	peerExpiryMs: 10_000,
	/** Shortest time between two changes of the group's members. */
	memberChangeIntervalMs: 300,
} as const;
