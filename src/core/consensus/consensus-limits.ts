/** Bounds on a member's memory and message sizes. */
export const consensusLimits = {
	/** Applied entries after which a snapshot is written. */
	snapshotEntries: 1000,
	/** Total weight (see `logEntryWeight`) of applied entries after which a snapshot is written, even if there are fewer than `snapshotEntries`. */
	snapshotWeight: 50_000,
	/** Entries before the snapshot that stay in memory, so that members that lag slightly need no snapshot. */
	keptEntries: 1000,
	/** Largest total weight (see `logEntryWeight`) of the entries in one message; its first entry may exceed this alone. */
	messageWeight: 2000,
	/** Most entries in one message. */
	messageEntries: 256,
	/** Unacknowledged entries of one member at which no more are sent to it. */
	unacknowledged: 2048,
	/** Characters of snapshot text in one message. */
	chunkLength: 262_144,
	/** Uncommitted entries at which a leader stops accepting proposals. */
	uncommitted: 10_000,
	/** Most entries by which a learner may lag behind the leader's log to become a voter. */
	learnerLag: 32,
} as const;
