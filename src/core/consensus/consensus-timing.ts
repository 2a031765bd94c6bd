/** Timing of the replicated log, in milliseconds. */
export const consensusTiming = {
	heartbeatMs: 200,
	/** Time after contact with a leader during which a member grants no vote. */
	electionTimeoutMs: 1000,
	/** Upper bound of the random addition to the time before a member starts a pre-vote. */
	electionJitterMs: 800,
	/** Shortest time between two pre-votes of one member. */
	preVoteRetryMs: 400,
	/**
	 * Length of a leader's lease, from the sending of a heartbeat that a majority answered; shorter than
	 * `electionTimeoutMs` to allow for clock drift.
	 */
	leaseMs: 800,
	/** Time without contact with a majority after which a leader steps down. */
	quorumLossMs: 1600,
	/** Time without an answer after which entries are resent. */
	resendMs: 500,
	/** Time without an answer after which a member is sent only heartbeats, without entries. */
	silentMs: 1000,
	/** Time between two rounds of `join` messages. */
	joinIntervalMs: 500,
	/** Time between two rounds of `hello` messages at start. */
	helloIntervalMs: 300,
	/** Silence of the member that proposed the first group, after which another one completes it. */
	proposerTimeoutMs: 3000,
	/** Time without a message after which a learner is dropped. */
	learnerTimeoutMs: 10_000,
	/** Time without use after which the cached text of an outgoing snapshot is dropped. */
	snapshotIdleMs: 10_000,
} as const;
