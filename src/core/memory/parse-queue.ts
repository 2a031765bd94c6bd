type ParseQueueOptions = {
	/** Time that parsing of one connection's requests may take before the connection yields to others, in milliseconds. @default 10 */
	readonly lightMs?: number;
};

const defaultLightMs = 10;
/** One of so many turns goes to an expensive connection while others wait, so that none starves. */
const heavyShare = 4;

/**
 * Decides which connection's received bytes are parsed next.
 *
 * Load pattern: a few clients send bodies in chunks of one byte, or requests without a pause and without reading the
 * responses. Each read of theirs costs a hundred times the processor time of an ordinary request, and in the order of
 * their reads the ordinary requests would wait for all of them. Connections that have cost little since they were last
 * idle come first.
 */
export class ParseQueue<Connection extends object> {
	readonly #lightMs: number;
	readonly #light = new Set<Connection>();
	readonly #heavy = new Set<Connection>();
	readonly #costs = new WeakMap<Connection, number>();
	#taken = 0;

	constructor({lightMs = defaultLightMs}: ParseQueueOptions = {}) {
		this.#lightMs = lightMs;
	}

	get size(): number {
		return this.#light.size + this.#heavy.size;
	}

	add(connection: Connection): void {
		this.delete(connection);
		(this.isHeavy(connection) ? this.#heavy : this.#light).add(connection);
	}

	delete(connection: Connection): void {
		this.#light.delete(connection);
		this.#heavy.delete(connection);
	}

	/** Takes the next connection out of the queue. */
	next(): Connection | undefined {
		this.#taken += 1;
		const queues = this.#taken % heavyShare === 0 ? [this.#heavy, this.#light] : [this.#light, this.#heavy];
		for (const queue of queues) {
			const [connection] = queue;
			if (connection !== undefined) {
				queue.delete(connection);
				return connection;
			}
		}

		return undefined;
	}

	/** Adds to what a connection has cost since it was last idle. */
	charge(connection: Connection, costMs: number): void {
		this.#costs.set(connection, (this.#costs.get(connection) ?? 0) + costMs);
	}

	/** Records that a connection is idle. */
	clear(connection: Connection): void {
		this.#costs.delete(connection);
	}

	isHeavy(connection: Connection): boolean {
		return (this.#costs.get(connection) ?? 0) > this.#lightMs;
	}
}
