import type {NodeId} from '../ids/node-id.ts';
import type {CounterName} from '../results/counter-name.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {JournalName} from './journal-name.ts';

/** Collects what a part of the core wants done; `Node.step` returns it as actions. */
export interface Outbox {
	/** Sends a message to a peer: unreliable, unordered across reconnects, dropped if the peer is unknown. */
	send(to: NodeId, message: PeerMessage): void;
	/**
	 * Appends records to a journal and syncs it; the core gets `written` with the returned token afterwards.
	 * Writes of one journal complete in order.
	 */
	append(journal: JournalName, records: readonly unknown[]): number;
	/** Replaces a journal atomically (compaction); the token is reported like that of `append`. */
	rewrite(journal: JournalName, records: readonly unknown[]): number;
	/** Adds one (or `amount`) to a counter; `reason` becomes a label. */
	count(name: CounterName, reason?: string, amount?: number): void;
	/** Emits a line of the structured log: a decision and what decided it. */
	event(event: string, fields: Readonly<Record<string, unknown>>): void;
	/** Emits a debug line: a short sentence under the prefix of its part. */
	log(part: string, text: string): void;
}
