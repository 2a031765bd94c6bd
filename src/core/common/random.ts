/** Source of randomness handed to the core, so that a run can be repeated from its seed. */
export interface Random {
	/** Returns a number in [0, 1). */
	next(): number;
}
