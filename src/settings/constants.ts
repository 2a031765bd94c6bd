/** Numbers of the process around the core; settings of the tree have their defaults in `src/core/settings`. */
export const constants = {
	/** Time between two `tick` events. */
	tickMs: 100,
	/** Longest time a caller may take to send headers. */
	headersTimeoutMs: 10_000,
	/** Longest time a caller may take to send the whole body. */
	bodyTimeoutMs: 30_000,
	/** Open connections of callers; further ones are closed at once. */
	maxConnections: 20_000,
	/** Largest body of an announcement or a change. */
	maxControlBodyBytes: 8_388_608,
	/** Answers up to this size are read whole before they are passed on, so that a broken one can be retried. */
	maxBufferedAnswerBytes: 262_144,
	/** Characters of a prompt that one prefix block stands for. */
	prefixBlockCharacters: 256,
	/** Prefix blocks taken of one prompt. */
	maxPrefixBlocks: 64,
	/** Characters of text that stand for one token where nobody counted. */
	charactersPerToken: 4,
	/** Messages waiting for one peer; the oldest are dropped beyond. */
	maxPeerQueue: 4096,
	/** Size from which on frames between processes are compressed, in bytes: configurations and lists of targets, not heartbeats. */
	peerCompressBytes: 2048,
	/** Pause before a link that ended is opened again. */
	peerReconnectMs: 100,
	/** Shortest time between two signs of life of a link's receiver. */
	peerHeartbeatMs: 300,
	/** Time after a frame that must be answered by a sign of life; then the link is opened anew. */
	peerHeartbeatTimeoutMs: 1200,
	/** Largest difference between two machines' wall clocks for a link to be taken. */
	peerClockSkewMs: 60_000,
	/** Time to connect to a target or a peer's entry. */
	connectTimeoutMs: 2000,
	/** Time to live of the entries list. */
	entriesTtlMs: 2000,
	/** Shortest time between leaving the entries list and closing: callers with an older list get an honest refusal. */
	drainMinMs: 2500,
	/** How long an operator's request waits for a change to be in force in every reachable region. */
	inForceWaitMs: 6000,
} as const;
