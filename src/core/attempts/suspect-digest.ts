/** A node's record of a suspect, as sent to other nodes. */
export type SuspectDigest = {
	/** Hash of the request's content. */
	readonly fingerprint: string;
	/** Crashes during which it was in flight on the target, as `target@incarnation`. */
	readonly crashes: readonly string[];
	/** Crashes that it is no longer blamed for. */
	readonly absolved: readonly string[];
	/** Time since the sender's record last changed, in milliseconds. */
	readonly ageMs: number;
	/** Version of the sender's record, returned in the acknowledgement. */
	readonly version: number;
};
