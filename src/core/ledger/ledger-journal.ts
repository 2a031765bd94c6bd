import {JournalRecovery} from '../common/journal-recovery.ts';
import type {Outbox} from '../common/outbox.ts';
import {PendingWrites} from '../common/pending-writes.ts';
import type {Millis} from '../ids/millis.ts';
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
	readonly #pending = new PendingWrites();
	readonly #recovery = new JournalRecovery();
	#lastToken = 0;
	#recordCount = 0;

	constructor({outbox, hasDisk}: LedgerJournalOptions) {
		this.#outbox = outbox;
		this.#hasDisk = hasDisk;
	}

	/** False from a failed write until the journal is rewritten: callbacks wait until then. */
	get writable(): boolean {
		return this.#recovery.reason === undefined;
	}

	/** Appends records and calls `onSynced` when they and all earlier ones are synced; without records it waits for the earlier ones only. */
	append(records: readonly LedgerRecord[], onSynced: () => void): void {
		if (this.#hasDisk && records.length > 0) {
			this.#recordCount += records.length;
			this.#trackWrite(this.#outbox.append('ledger', records));
		}

		this.#pending.whenSynced(onSynced);
	}

	/** Replaces the whole journal and calls `onSynced` when that is synced. */
	rewrite(records: readonly LedgerRecord[], onSynced?: () => void): void {
		if (this.#hasDisk) {
			this.#recordCount = records.length;
			this.#trackWrite(this.#outbox.rewrite('ledger', records));
		}

		if (onSynced) {
			this.#pending.whenSynced(onSynced);
		}
	}

	/** True if most of the journal is outdated. */
	needsCompaction(liveRecords: number): boolean {
		return this.#hasDisk && this.writable && this.#recordCount > (2 * liveRecords) + compactionSlack;
	}

	/** Rewrites the journal with `records`, which must be all that it has to hold, if that is due after a failed write. */
	recover(records: () => readonly LedgerRecord[], now: Millis): void {
		this.#recovery.tick(() => {
			this.rewrite(records());
			return this.#lastToken;
		}, now);
	}

	/** Handles the sync of a write. */
	written(token: number): void {
		if (this.#recovery.written(token)) {
			this.#outbox.event('disk-regained', {journal: 'ledger'});
		}

		this.#pending.written(token);
	}

	writeFailed(reason: string, now: Millis): void {
		if (this.#recovery.failed(reason, now)) {
			this.#outbox.event('disk-failed', {journal: 'ledger', reason});
		}
	}

	#trackWrite(token: number): void {
		this.#lastToken = token;
		this.#pending.add(token);
	}
}
