/** Times of the replicated log, in milliseconds. */
export const consensusTiming = {
	heartbeatMs: 200,
	/** Time after hearing a leader in which a member helps to elect no other. */
	electionTimeoutMs: 1000,
	/** Random addition to the time before a member stands for election. */
	electionJitterMs: 800,
	/** Least time between two pre-votes of one member. */
	preVoteRetryMs: 400,
	/** Lease from the sending of a heartbeat that a majority answered; shorter than `electionMs` to allow for clock drift. */
	leaseMs: 800,
	/** Time without a majority after which a leader steps down. */
	quorumLossMs: 1600,
	/** Time without an answer after which entries are sent again. */
	resendMs: 500,
	/** Time without an answer after which a member is sent no entries, only heartbeats. */
	silentMs: 1000,
	/** Time between two requests to join. */
	joinIntervalMs: 500,
	/** Time between two questions at start. */
	helloIntervalMs: 300,
	/** Time after which a silent learner is given up. */
	learnerTimeoutMs: 10_000,
	/** Time without use after which the text of an outgoing snapshot is dropped. */
	snapshotIdleMs: 10_000,
} as const;
