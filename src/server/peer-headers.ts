/** Headers of a link between two processes of the system. */
export const peerHeaders = {
	/** `<node id of the sender>;<its incarnation>;<node id of the receiver>`. */
	identity: 'lovageferry-peer',
	/** Proof of the peer key: of the sender in the request, for `identity`; of the receiver in the response, for its `replyIdentity`. */
	token: 'lovageferry-peer-token',
	/** Set if the sender takes messages in pulses; the value is the version of that exchange. Builds that don't know it ignore it. */
	takesReplies: 'lovageferry-peer-replies',
	repliesVersion: '1',
} as const;
