/** Compact load: renews the lease and the load of a target whose full record the receiver has. */
export type LoadUpdate = {
	/** Handle of the target and its incarnation, see `targetHandle`. */
	readonly handle: number;
	readonly sequence: number;
	readonly running: number;
	readonly queued: number;
	/** Milliseconds since the target's own announcement was received. */
	readonly heardAgeMs: number;
	/** Milliseconds since the target measured the load. */
	readonly loadAgeMs: number;
};
