import type {Outbox} from '../common/outbox.ts';
import {PendingWrites} from '../common/pending-writes.ts';
import type {ConsensusRecord} from './consensus-record.ts';

/** Writes to the member's journal and runs callbacks once they are synced. */
export class DurableWrites {
	readonly #outbox: Outbox;
	readonly #pending = new PendingWrites();

	constructor(outbox: Outbox) {
		this.#outbox = outbox;
	}

	append(...records: readonly ConsensusRecord[]): void {
		this.#pending.add(this.#outbox.append('consensus', records));
	}

	/** Returns the token of the write. */
	rewrite(records: readonly ConsensusRecord[]): number {
		const token = this.#outbox.rewrite('consensus', records);
		this.#pending.add(token);
		return token;
	}

	/** Runs `callback` once all writes so far are synced, immediately if none is pending. */
	whenSynced(callback: () => void): void {
		this.#pending.whenSynced(callback);
	}

	/** Handles the sync of a write. */
	written(token: number): void {
		this.#pending.written(token);
	}
}
