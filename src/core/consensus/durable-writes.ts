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

	rewrite(records: readonly ConsensusRecord[]): void {
		this.#track(this.#outbox.rewrite('consensus', records));
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

	written(token: number): void {
		const callbacks = this.#pending.get(token) ?? [];
		this.#pending.delete(token);
		for (const callback of callbacks) {
			callback();
		}
	}

	#track(token: number): void {
		this.#newestToken = token;
		this.#pending.set(token, []);
	}
}
