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
	readonly #waiting = new Map<number, () => void>();
	#records = 0;

	constructor({outbox, hasDisk}: LedgerJournalOptions) {
		this.#outbox = outbox;
		this.#hasDisk = hasDisk;
	}

	/** Appends records and calls `then` when they are synced. */
	append(records: readonly LedgerRecord[], then: () => void): void {
		if (!this.#hasDisk) {
			then();
			return;
		}

		this.#records += records.length;
		this.#waiting.set(this.#outbox.append('ledger', records), then);
	}

	/** Replaces the whole journal and calls `then` when that is synced. */
	rewrite(records: readonly LedgerRecord[], then?: () => void): void {
		if (!this.#hasDisk) {
			then?.();
			return;
		}

		this.#records = records.length;
		const token = this.#outbox.rewrite('ledger', records);
		if (then) {
			this.#waiting.set(token, then);
		}
	}

	/** True if most of the journal is outdated. */
	wantsCompaction(liveRecords: number): boolean {
		return this.#hasDisk && this.#records > (2 * liveRecords) + compactionSlack;
	}

	written(token: number): void {
		const then = this.#waiting.get(token);
		this.#waiting.delete(token);
		then?.();
	}
}
