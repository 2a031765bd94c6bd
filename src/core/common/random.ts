/** Source of randomness passed to the core, so that a run can be reproduced from its seed. */
export interface Random {
	/** Returns a number in [0, 1). */
	next(): number;
}
