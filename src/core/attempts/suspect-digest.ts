/** What one node knows of a suspect, as told to others. */
export type SuspectDigest = {
	/** Digest of the request's content. */
	readonly fingerprint: string;
	/** Crashed targets that it was in flight on, as `target@incarnation`. */
	readonly crashes: readonly string[];
	/** Those of them that it is no longer blamed for. */
	readonly absolved: readonly string[];
	/** Since the last crash became known to the sender, in milliseconds. */
	readonly ageMs: number;
	/** Version of the sender's record, for its acknowledgement. */
	readonly version: number;
};
