/** Kinds of state that a process keeps for clients, and whose keys they choose. */
export type StateKind =
	/** Parts of prompts that engines may have in their KV caches. */
	| 'prompt-parts'
	/** Where streams began. */
	| 'stream-origins'
	/** Traits of requests that were answered in full. */
	| 'served-traits'
	/** Targets that have reported themselves. */
	| 'targets'
	/** Claims of idempotency keys. */
	| 'claims';
