/** A renewed lease with its load figures, for a target whose full record the receiver knows. */
export type LoadUpdate = {
	/** Handle of target and incarnation, see `targetHandle`. */
	readonly handle: number;
	readonly sequence: number;
	readonly running: number;
	readonly queued: number;
	/** Milliseconds since the target itself was heard. */
	readonly heardAgeMs: number;
	/** Milliseconds since the load figures were true. */
	readonly loadAgeMs: number;
};
