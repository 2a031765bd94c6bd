/** Bounds on the memory and messages of a member. */
export const consensusLimits = {
	/** Applied entries after which a snapshot is written. */
	snapshotEntries: 1000,
	/** Operations of applied entries after which a snapshot is written, however few the entries are. */
	snapshotWeight: 50_000,
	/** Entries behind the snapshot kept in memory for members that lag a little. */
	keptEntries: 1000,
	/** Operations in the entries of one message, apart from the first entry. */
	messageWeight: 2000,
	/** Entries of one message. */
	messageEntries: 256,
	/** Entries sent to one member and not acknowledged yet. */
	unacknowledged: 2048,
	/** Characters of snapshot text in one message. */
	chunkLength: 262_144,
	/** Entries that are proposed and not committed yet; beyond them a leader takes no more. */
	uncommitted: 10_000,
	/** Entries by which a learner may lag when it is made a voter. */
	learnerLag: 32,
} as const;
