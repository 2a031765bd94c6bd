/** Timings of control nodes and of the entries that follow them, in milliseconds unless said otherwise; derived from the time bounds that a deployment with a routes document must meet. */
export const controlTiming = {
	/** Interval of an entry's statuses, and of gossip between control nodes. */
	statusIntervalMs: 500,
	/** Time without any feed, or without a current one, after which an entry follows another control node. */
	feedTimeoutMs: 1600,
	/** Time after a failure of a control node during which an entry prefers all others; also the shortest time before an entry returns to a control node of its own region. */
	avoidFailedNodeMs: 5000,
	/** Number of other control nodes that an entry without a current feed asks per `statusIntervalMs`. */
	nodesAskedAtOnce: 3,
	/** Silence after which an entry gets no more feeds, and after which a control node counts as unreachable. */
	followLeaseMs: 2500,
	/** Silence of the leader after which a control node reports itself as not current. */
	maxLeaderSilenceMs: 1500,
	/** Lag behind the leader's commits after which a control node reports itself as not current; allows for a round trip between regions and a sync. */
	maxLagMs: 500,
	/** Time after which an operator's call is answered as unavailable; callers wait about a second. */
	callTimeoutMs: 1500,
	/** Time after which an operator has taken an order that carries no version to another node, where newer ones may follow it. */
	orderTimeoutMs: 1000,
	/** Time after which a call to the leader is retried. */
	callRetryMs: 600,
	/** Time after which a leader that has not opened an order is asked again: a new leader opens none before its first entry is committed. */
	openRetryMs: 200,
	/** Silence after which a standby, if there is one, replaces a voter. */
	replaceVoterMs: 800,
	/** Silence after which a control node that is neither a seed nor a member of the replicated log is forgotten. */
	peerExpiryMs: 10_000,
	/** Shortest time between two messages that are sent because the demand of an organisation has risen. */
	quotaFeedIntervalMs: 100,
	/** Time for which a stream can still be taken up: longer than callers wait for one. */
	streamRetentionMs: 30_000,
	/** Shortest time between two reports of an entry on the streams that began at it; streams younger than this may be lost with their entry. */
	streamReportIntervalMs: 100,
	/** Time that control nodes have to answer where a stream began; allows for a round trip between regions. */
	streamQueryTimeoutMs: 300,
	/** Shortest time between two membership changes of the replicated log. */
	memberChangeIntervalMs: 300,
} as const;
