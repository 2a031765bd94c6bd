import type {Outbox} from '../common/outbox.ts';
import type {ConsensusRecord} from './consensus-record.ts';

/** Writes to the member's journal and runs callbacks once they are synced. */
export class DurableWrites {
	readonly #outbox: Outbox;
	/** Unsynced writes by token, in order, with the callbacks to run after their sync. */
	readonly #pending = new Map<number, Array<() => void>>();
	#newestToken = -1;

	constructor(outbox: Outbox) {
		this.#outbox = outbox;
	}

	append(...records: readonly ConsensusRecord[]): void {
		this.#track(this.#outbox.append('consensus', records));
	}

	/** Returns the token of the write. */
	rewrite(records: readonly ConsensusRecord[]): number {
		const token = this.#outbox.rewrite('consensus', records);
		this.#track(token);
		return token;
	}

	/** Runs `callback` once all writes so far are synced, immediately if none is pending. */
	whenSynced(callback: () => void): void {
		const callbacks = this.#pending.get(this.#newestToken);
		if (callbacks === undefined) {
			callback();
			return;
		}

		callbacks.push(callback);
	}

	/** Handles the sync of a write. Earlier ones that failed are covered by it: after a failed write only a rewrite can succeed. */
	written(token: number): void {
		for (const [pendingToken, callbacks] of this.#pending) {
			if (pendingToken > token) {
				break;
			}

			this.#pending.delete(pendingToken);
			for (const callback of callbacks) {
				callback();
			}
		}
	}

	#track(token: number): void {
		this.#newestToken = token;
		this.#pending.set(token, []);
	}
}
