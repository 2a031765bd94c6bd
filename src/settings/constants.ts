/** Limits and timings of the process around the core. The defaults of the settings tree are in `src/core/settings`. */
export const constants = {
	/** Interval between `tick` events. */
	tickMs: 100,
	/** Maximum time for a caller to send the headers. */
	headersTimeoutMs: 10_000,
	/** Maximum time for a caller to send the body. */
	bodyTimeoutMs: 30_000,
	/** Descriptors that a process keeps for its files and its links to other processes, at most; a quarter of all if that is less. */
	maxOwnDescriptors: 512,
	/** Connections of peers on which there is no link, at most; a quarter of the process's own descriptors if that is less. */
	maxUnlinkedSessions: 128,
	/** Share of the other descriptors that accepted connections may take; the rest is for connections to targets. */
	acceptedShare: 0.7,
	/** The same for requests in progress, each of which may need a connection to a target. */
	requestShare: 0.25,
	/** Largest body of a change or a configuration, in bytes. */
	maxControlBodyBytes: 8_388_608,
	/** Largest announcement of a target, in bytes, with a full list of cached blocks. */
	maxAnnouncementBytes: 1_048_576,
	/** Largest report of a target in a deployment with a routes document, in bytes. Parsed JSON takes up to thirty times its size. */
	maxReportBytes: 65_536,
	/** Largest memory that the values of a client's JSON text may take once it is parsed, in bytes. */
	maxParsedJsonBytes: 33_554_432,
	/** Largest number of requests that a target may say it processes at the same time. */
	maxTargetCapacity: 1_000_000,
	/** Answers up to this size, in bytes, are buffered before they are sent to the caller, so that a truncated one can be retried. */
	maxBufferedAnswerBytes: 262_144,
	/** Largest whole answer, in bytes; one that goes on is given up, since targets in trouble may send bytes without end. */
	maxAnswerBytes: 67_108_864,
	/** Largest stream of events whose text is collected, in bytes: to resume it, or to assemble one answer. */
	maxCollectedStreamBytes: 16_777_216,
	/** Memory that a process may use unless its settings say otherwise, in MB: the smallest VM of the known deployments. The bounds on what a process holds of its requests apply to this size and are scaled to others. */
	defaultMemoryMb: 210,
	/** Limit of the JavaScript heap to which the bounds on what lies there apply, in bytes; they are scaled to smaller heaps. */
	defaultHeapBytes: 251_658_240,
	/** Largest total size of the state that is kept for clients beyond their requests, in bytes. */
	maxStateBytes: 50_331_648,
	/** Largest total size of the bodies of all requests in progress, in bytes. */
	maxHeldBodyBytes: 33_554_432,
	/** Largest total size of the heads that are not whole and of what is read and not parsed yet, over all connections, in bytes; a head in progress has at most 64 KB. */
	maxHeldHeadBytes: 16_777_216,
	/** Largest total size of all requests in progress with their heads, but without their bodies, in bytes. */
	maxHeldRequestBytes: 33_554_432,
	/** Requests of one connection that may be in progress at a time; the connection is closed at one more. Reading stops behind the first, so that only those in one piece of 16 KB count. */
	maxPipelinedRequests: 128,
	/** Largest total size of the parts of all answers that are read and not passed on, in bytes. */
	maxHeldAnswerBytes: 50_331_648,
	/** Largest total size of all whole answers that their callers have not read, in bytes. */
	maxUnreadAnswerBytes: 50_331_648,
	/** Longest id of an event, in characters: it has to fit in the head of a request that resumes the stream. */
	maxEventIdCharacters: 1024,
	/** Largest event of a stream, in bytes. */
	maxEventBytes: 1_048_576,
	/** Bytes that are read after the end marker of a stream, so that its connection can be reused. */
	maxTrailingBytes: 65_536,
	/** Characters of a prompt in one prefix block. */
	prefixBlockCharacters: 256,
	/** Maximum number of prefix blocks of one prompt. */
	maxPrefixBlocks: 64,
	/** Characters per token, to estimate the number of tokens where the request does not state it. */
	charactersPerToken: 4,
	/** Maximum number of messages queued for one peer; beyond it the oldest are dropped. */
	maxPeerQueue: 4096,
	/** Largest total size of the messages queued for one peer, in bytes; beyond it the oldest are dropped. */
	maxPeerQueueBytes: 16_777_216,
	/** Largest total size of the messages queued for all peers, in bytes; beyond it the longest queue drops its oldest. */
	maxPeerQueuesBytes: 50_331_648,
	/** Largest total size of the messages in one frame between processes, in bytes; its first message may exceed this alone. */
	maxPeerFrameBytes: 4_194_304,
	/** Frames between processes are compressed from this size on, in bytes: configurations and lists of targets, not heartbeats. */
	peerCompressBytes: 2048,
	/** Delay before a closed link is reopened. */
	peerReconnectMs: 100,
	/** Minimum interval between heartbeats of a link's receiver. */
	peerHeartbeatMs: 300,
	/** Time within which a heartbeat must follow a frame that was sent; otherwise the link is reopened. */
	peerHeartbeatTimeoutMs: 1200,
	/** Maximum difference between the wall clocks of two machines; a link beyond it is rejected. */
	peerClockSkewMs: 60_000,
	/** Timeout for connecting to a target or to another entry. */
	connectTimeoutMs: 2000,
	/** Timeout for the connection that finds out whether a target can be reached. */
	probeTimeoutMs: 1000,
	/** Time that callers may use a list of entries. */
	entriesTtlMs: 2000,
	/** Minimum time between removal from the list of entries and closing: callers with an older list get a refusal that says so instead of a closed connection. */
	drainMinMs: 2500,
	/** Maximum time that an operator's request waits until a change is in force in every reachable region. */
	inForceWaitMs: 6000,
} as const;
