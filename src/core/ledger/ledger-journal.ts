import type {Outbox} from '../common/outbox.ts';
import type {LedgerRecord} from './ledger-record.ts';

type LedgerJournalOptions = {
	readonly outbox: Outbox;
	/** Without a disk nothing is written, and callbacks run at once. */
	readonly hasDisk: boolean;
};

/** Number of records beyond twice the live ones at which the journal is compacted. */
const compactionSlack = 2000;

/** A keeper's journal, which runs callbacks once records are synced. */
export class LedgerJournal {
	readonly #outbox: Outbox;
	readonly #hasDisk: boolean;
	/** Callbacks of each pending write, by its token. */
	readonly #syncCallbacks = new Map<number, Array<() => void>>();
	#lastToken = 0;
	#recordCount = 0;

	constructor({outbox, hasDisk}: LedgerJournalOptions) {
		this.#outbox = outbox;
		this.#hasDisk = hasDisk;
	}

	/** Appends records and calls `onSynced` when they and all earlier ones are synced; without records it waits for the earlier ones only. */
	append(records: readonly LedgerRecord[], onSynced: () => void): void {
		if (this.#hasDisk && records.length > 0) {
			this.#recordCount += records.length;
			this.#trackWrite(this.#outbox.append('ledger', records));
		}

		this.#afterLastWrite(onSynced);
	}

	/** Replaces the whole journal and calls `onSynced` when that is synced. */
	rewrite(records: readonly LedgerRecord[], onSynced?: () => void): void {
		if (this.#hasDisk) {
			this.#recordCount = records.length;
			this.#trackWrite(this.#outbox.rewrite('ledger', records));
		}

		if (onSynced) {
			this.#afterLastWrite(onSynced);
		}
	}

	/** True if most of the journal is outdated. */
	needsCompaction(liveRecords: number): boolean {
		return this.#hasDisk && this.#recordCount > (2 * liveRecords) + compactionSlack;
	}

	written(token: number): void {
		const callbacks = this.#syncCallbacks.get(token) ?? [];
		this.#syncCallbacks.delete(token);
		for (const callback of callbacks) {
			callback();
		}
	}

	#trackWrite(token: number): void {
		this.#lastToken = token;
		this.#syncCallbacks.set(token, []);
	}

	/** Writes complete in order, so the callback waits for the last pending one. */
	#afterLastWrite(onSynced: () => void): void {
		const callbacks = this.#syncCallbacks.get(this.#lastToken);
		if (callbacks) {
			callbacks.push(onSynced);
		} else {
			onSynced();
		}
	}
}
