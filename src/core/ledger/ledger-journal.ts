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
	readonly #waiting = new Map<number, Array<() => void>>();
	#lastToken = 0;
	#records = 0;

	constructor({outbox, hasDisk}: LedgerJournalOptions) {
		this.#outbox = outbox;
		this.#hasDisk = hasDisk;
	}

	/** Appends records and calls `then` when they, and all before them, are synced. */
	append(records: readonly LedgerRecord[], then: () => void): void {
		if (this.#hasDisk && records.length > 0) {
			this.#records += records.length;
			this.#begin(this.#outbox.append('ledger', records));
		}

		this.#afterLastWrite(then);
	}

	/** Replaces the whole journal and calls `then` when that is synced. */
	rewrite(records: readonly LedgerRecord[], then?: () => void): void {
		if (this.#hasDisk) {
			this.#records = records.length;
			this.#begin(this.#outbox.rewrite('ledger', records));
		}

		if (then) {
			this.#afterLastWrite(then);
		}
	}

	/** True if most of the journal is outdated. */
	wantsCompaction(liveRecords: number): boolean {
		return this.#hasDisk && this.#records > (2 * liveRecords) + compactionSlack;
	}

	written(token: number): void {
		const waiting = this.#waiting.get(token) ?? [];
		this.#waiting.delete(token);
		for (const then of waiting) {
			then();
		}
	}

	#begin(token: number): void {
		this.#lastToken = token;
		this.#waiting.set(token, []);
	}

	/** Writes complete in order, so the last one under way stands for all. */
	#afterLastWrite(then: () => void): void {
		const waiting = this.#waiting.get(this.#lastToken);
		if (waiting) {
			waiting.push(then);
		} else {
			then();
		}
	}
}
