/** Runs callbacks once the journal writes before them are synced. Writes complete in the order of their tokens. */
export class PendingWrites {
	/** Callbacks by the token of the write that they wait for, in order; the newest write always has a list. */
	readonly #callbacks = new Map<number, Array<() => void>>();
	#newestToken = -1;

	/** Number of writes of which something is kept. */
	get size(): number {
		return this.#callbacks.size;
	}

	add(token: number): void {
		// Writes may fail for as long as a disk is full, and nothing waits for one without callbacks.
		if (this.#callbacks.get(this.#newestToken)?.length === 0) {
			this.#callbacks.delete(this.#newestToken);
		}

		this.#newestToken = token;
		this.#callbacks.set(token, []);
	}

	/** Runs `callback` once all writes so far are synced, immediately if none is pending. */
	whenSynced(callback: () => void): void {
		const callbacks = this.#callbacks.get(this.#newestToken);
		if (callbacks === undefined) {
			callback();
			return;
		}

		callbacks.push(callback);
	}

	/** Handles the sync of a write. Earlier ones that failed are covered by it: after a failed write only a rewrite can succeed. */
	written(token: number): void {
		for (const [pendingToken, callbacks] of this.#callbacks) {
			if (pendingToken > token) {
				break;
			}

			this.#callbacks.delete(pendingToken);
			for (const callback of callbacks) {
				callback();
			}
		}
	}
}
