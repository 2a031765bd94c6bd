import type {Outbox} from '../common/outbox.ts';
import type {ConsensusRecord} from './consensus-record.ts';

/** Writes to the member's journal, and what waits for their sync. */
export class DurableWrites {
	readonly #outbox: Outbox;
	/** Unsynced writes in order, each with what waits for it. */
	readonly #pending = new Map<number, Array<() => void>>();
	#newest = -1;

	constructor(outbox: Outbox) {
		this.#outbox = outbox;
	}

	append(...records: readonly ConsensusRecord[]): void {
		this.#started(this.#outbox.append('consensus', records));
	}

	rewrite(records: readonly ConsensusRecord[]): void {
		this.#started(this.#outbox.rewrite('consensus', records));
	}

	/** Runs `then` once all writes so far are synced: at once if none is under way. */
	whenSynced(then: () => void): void {
		const waiting = this.#pending.get(this.#newest);
		if (waiting === undefined) {
			then();
			return;
		}

		waiting.push(then);
	}

	written(token: number): void {
		const waiting = this.#pending.get(token) ?? [];
		this.#pending.delete(token);
		for (const then of waiting) {
			then();
		}
	}

	#started(token: number): void {
		this.#newest = token;
		this.#pending.set(token, []);
	}
}
