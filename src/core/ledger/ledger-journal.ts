import type {Outbox} from '../common/outbox.ts';
import type {LedgerRecord} from './ledger-record.ts';

type LedgerJournalOptions = {
	readonly outbox: Outbox;
	/** Without a disk, records count as written at once. */
	readonly hasDisk: boolean;
};

/** Records beyond twice the live ones after which the journal is rewritten. */
const compactionSlack = 2000;

/** The keeper's journal: runs what depends on a record once it is synced. */
export class LedgerJournal {
	readonly #outbox: Outbox;
	readonly #hasDisk: boolean;
	/** What waits for each write that is under way. */
	readonly #syncCallbacks = new Map<number, Array<() => void>>();
	#lastToken = 0;
	#recordCount = 0;

	constructor({outbox, hasDisk}: LedgerJournalOptions) {
		this.#outbox = outbox;
		this.#hasDisk = hasDisk;
	}

	/** Appends records and calls `then` when they, and all before them, are synced. */
	append(records: readonly LedgerRecord[], onSynced: () => void): void {
		if (this.#hasDisk && records.length > 0) {
			this.#recordCount += records.length;
			this.#trackWrite(this.#outbox.append('ledger', records));
		}

		this.#afterLastWrite(onSynced);
	}

	/** Replaces the whole journal and calls `then` when that is synced. */
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

	/** Writes complete in order, so the last one under way stands for all. */
	#afterLastWrite(onSynced: () => void): void {
		const callbacks = this.#syncCallbacks.get(this.#lastToken);
		if (callbacks) {
			callbacks.push(onSynced);
		} else {
			onSynced();
		}
	}
}
