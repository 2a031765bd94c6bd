/** One line of a target's run log. */
export type RunLogLine = {
	/** Wall-clock time in milliseconds. */
	readonly at: number;
	readonly event: 'up' | 'start' | 'whole' | 'cancel' | 'crash' | 'leaving' | 'order' | 'order-refused';
	readonly target: string;
	readonly region: string;
	readonly zone: string;
	readonly service: string;
	readonly attempt?: string;
	readonly key?: string;
	/** Digest of the request's content, without the partial answer of a resumed request. */
	readonly digest?: string;
	readonly path?: string;
	/** True if the request asked the target to continue a partial answer. */
	readonly resumed?: boolean;
	readonly detail?: string;
};
