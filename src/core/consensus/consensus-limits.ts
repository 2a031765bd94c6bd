/** Bounds on a member's memory, journal and messages. Entries are bounded by number and by their size in bytes of JSON: one command may be a whole document. */
export const consensusLimits = {
	/** Applied entries after which a snapshot is written. */
	snapshotEntries: 1000,
	/** Total size of applied entries after which a snapshot is written, even if there are fewer than `snapshotEntries`, in bytes. */
	snapshotBytes: 8_388_608,
	/** Entries before the snapshot that stay in memory, so that members that lag slightly need no snapshot. */
	keptEntries: 1000,
	/** Largest total size of these entries, in bytes. */
	keptBytes: 4_194_304,
	/** Most entries in one message. */
	messageEntries: 256,
	/** Largest total size of the entries in one message, in bytes; its first entry may exceed this alone. */
	messageBytes: 1_048_576,
	/** Unacknowledged entries of one member at which no more are sent to it. */
	unacknowledged: 2048,
	/** Total size of the unacknowledged entries of one member at which no more are sent to it, in bytes. */
	unacknowledgedBytes: 4_194_304,
	/** Characters of snapshot text in one message. */
	chunkLength: 262_144,
	/** Uncommitted entries at which a leader stops accepting proposals. */
	uncommitted: 10_000,
	/** Total size of uncommitted entries at which a leader stops accepting proposals, in bytes. */
	uncommittedBytes: 16_777_216,
	/** Most entries by which a learner may lag behind the leader's log to become a voter. */
	learnerLag: 32,
} as const;
