import type {NodeId} from '../ids/node-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {LogEntry} from './log-entry.ts';
import type {MemberContext} from './member-context.ts';

type Append = ConsensusMessage['body'] & {type: 'append'};

/** Follower side of replication: checks that the log matches the leader's, stores entries and acknowledges synced ones. */
export class LogAcceptor {
	readonly #context: MemberContext;

	constructor(context: MemberContext) {
		this.#context = context;
	}

	/** Stores new entries; returns the index up to which the log matches the leader's, or undefined if it differs at `previousIndex`. */
	accept(from: NodeId, message: Append, commit: number): number | undefined {
		const {storage} = this.#context;
		const {previousIndex, previousTerm, entries} = message;
		if (previousIndex > commit && storage.log.term(previousIndex) !== previousTerm) {
			this.#answer(from, message, false, this.#nextProbeIndex(previousIndex, commit));
			return undefined;
		}

		const newEntries = this.#newEntries(entries, commit);
		if (newEntries.length > 0) {
			this.#store(newEntries);
		}

		const matched = previousIndex + entries.length;
		if (storage.termSynced) {
			// Sent before new entries are synced, so that the leader's lease does not depend on the speed of the disk.
			this.#answer(from, message, true, Math.min(matched, storage.syncedIndex));
		}

		if (newEntries.length > 0 || !storage.termSynced) {
			this.#answerWhenSynced(from, message, matched);
		}

		return matched;
	}

	/** Refuses a message from a leader of an earlier term. */
	refuse(from: NodeId, message: Append): void {
		this.#answer(from, message, false, this.#context.storage.log.lastIndex);
	}

	#answerWhenSynced(from: NodeId, message: Append, matched: number): void {
		const {storage} = this.#context;
		storage.writes.whenSynced(() => {
			if (storage.term === message.term) {
				this.#answer(from, message, true, matched);
			}
		});
	}

	#store(newEntries: readonly LogEntry[]): void {
		const {storage} = this.#context;
		if (newEntries[0]!.index <= storage.log.lastIndex) {
			storage.truncate(newEntries[0]!.index);
		}

		storage.append(newEntries);
	}

	/** The entries from the first one on that the log lacks or holds with another term; committed entries always match. */
	#newEntries(entries: readonly LogEntry[], commit: number): readonly LogEntry[] {
		const {log} = this.#context.storage;
		const first = entries.findIndex(({index, term}) => index > commit && log.term(index) !== term);
		return first === -1 ? [] : entries.slice(first);
	}

	/** The `previousIndex` that the leader should try next: before all entries of the conflicting term, but not before the commit index. */
	#nextProbeIndex(previousIndex: number, commit: number): number {
		const {log} = this.#context.storage;
		if (previousIndex > log.lastIndex) {
			return log.lastIndex;
		}

		const conflicting = log.term(previousIndex);
		let index = previousIndex - 1;
		while (index > commit && log.term(index) === conflicting) {
			index -= 1;
		}

		return index;
	}

	#answer(from: NodeId, message: Append, ok: boolean, index: number): void {
		const {storage, send} = this.#context;
		send(from, {
			type: 'append-answer', term: storage.term, ok, index, previousIndex: message.previousIndex, sentAt: message.sentAt,
		});
	}
}
