/** One run of a request at a stand-in target. Times by `performance.now()`. */
export type TargetRun = {
	/** Identifier of the request. */
	readonly key: string;
	/** Number of the sending by the caller, from 1 on; undefined if the request names none. */
	readonly sending?: number;
	/** When the request had arrived. */
	readonly startedAt: number;
	/** When the head of an answer that its requester can accept was written. */
	headAt?: number;
	/** Times at which events of a stream were written. */
	readonly progressAt: number[];
	/** Undefined while the target works. */
	endedAt?: number;
	/** `broken off`: by the target; `cancelled`: by the other side. */
	end?: 'whole' | 'broken off' | 'cancelled';
};
