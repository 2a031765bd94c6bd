/** A queue that takes part in a `PeerQueueBudget`. */
type BoundedQueue = {
	/** Size of what the queue holds, in bytes. */
	readonly bytes: number;
	/** Drops the oldest message that still waits, if others follow it; returns whether there was one. */
	dropOldest(): boolean;
};

/** Bounds what the queues of all peers of a process hold together. Beyond it the longest queue, whose peer takes least, drops its oldest messages. */
export class PeerQueueBudget {
	readonly #maxBytes: number;
	readonly #queues = new Set<BoundedQueue>();
	#bytes = 0;

	/** @param maxBytes - Size that all queues together may hold, in bytes. */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	add(queue: BoundedQueue): void {
		this.#queues.add(queue);
	}

	remove(queue: BoundedQueue): void {
		this.#queues.delete(queue);
	}

	/** Counts what a queue holds more or, below 0, less than before, in bytes. */
	count(difference: number): void {
		this.#bytes += difference;
	}

	/** Drops messages until the bound holds, or each queue holds one message only. */
	enforce(): void {
		while (this.#bytes > this.#maxBytes) {
			const longestFirst = [...this.#queues].toSorted((a, b) => b.bytes - a.bytes);
			if (!longestFirst.some(queue => queue.dropOldest())) {
				return;
			}
		}
	}
}
