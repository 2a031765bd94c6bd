import type {NodeId} from '../ids/node-id.ts';
import type {CounterName} from '../results/counter-name.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {JournalName} from './journal-name.ts';

/** Collects the output of a part of the core; the core's `step` returns it as actions. */
export interface Outbox {
	/** Sends a message to a peer: unreliable, unordered across reconnects, dropped if the peer is not known. */
	send(to: NodeId, message: PeerMessage): void;
	/**
	 * Appends records to a journal and syncs it to disk; afterwards the core gets a `written` event with the returned token.
	 * Writes to one journal complete in order.
	 */
	append(journal: JournalName, records: readonly unknown[]): number;
	/** Replaces a journal atomically (compaction); the token is reported like that of `append`. */
	rewrite(journal: JournalName, records: readonly unknown[]): number;
	/** Adds one (or `amount`) to a counter; `reason` becomes a label. */
	count(name: CounterName, reason?: string, amount?: number): void;
	/** Emits a line of the structured log: a decision with its inputs in `fields`. */
	event(event: string, fields: Readonly<Record<string, unknown>>): void;
	/** Emits a debug log line, prefixed with the name of the part. */
	log(part: string, text: string): void;
}
