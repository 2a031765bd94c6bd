/** Something in a routes document that its operator should know before sending it. */
export type DocumentFinding = {
	/** `error`: the document would be refused. `unreachable`: an entry that can never take effect. `contradiction`: settings of which one defeats the other. */
	readonly kind: 'error' | 'unreachable' | 'contradiction';
	/** What is wrong, where, and the remedy. Contains no key. */
	readonly message: string;
};
