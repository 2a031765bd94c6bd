/** One line of a target's run log. */
export type RunLogLine = {
	/** Wall-clock time in milliseconds. */
	readonly at: number;
	/**
	 * `up`: the target listens; `start`: a request arrived; `whole`: its run is complete; `cancel`: its connection closed before the answer was written;
	 * `crash`: the target kills itself on a crash text; `leaving`: it received SIGTERM; `order`, `order-refused`: it accepted or refused an order.
	 */
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
