/** What a target says, in the head of an answer, of the requests that it wants. */
export type TargetNotice = {
	/** True if it leaves and wants no new ones. */
	readonly leaving: boolean;
	/** Time for which it wants none from the receiver, in milliseconds, if it asks for a pause. */
	readonly pauseMs?: number;
	/** Names of headers whose values could not be read. */
	readonly unreadableHeaders?: readonly string[];
};
