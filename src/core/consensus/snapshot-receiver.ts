import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {LogMember} from './log-member.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import type {MemberContext} from './member-context.ts';

type Chunk = ConsensusMessage['body'] & {type: 'snapshot'};

/** Assembles a leader's snapshot from chunks, requests the next one, and acknowledges the snapshot once it is synced. */
export class SnapshotReceiver {
	readonly #context: MemberContext;
	#sender: StorageId | undefined;
	#index = 0;
	#text = '';

	constructor(context: MemberContext) {
		this.#context = context;
	}

	/** Adds a chunk; returns the snapshot once it is complete, to be installed before `acknowledge`. */
	receive(from: LogMember, chunk: Chunk): LogSnapshot | undefined {
		const {index, offset, total, text} = chunk;
		if (from.storageId !== this.#sender || index !== this.#index) {
			this.#sender = from.storageId;
			this.#index = index;
			this.#text = '';
		}

		if (offset === this.#text.length) {
			this.#text += text;
		}

		if (this.#text.length < total) {
			this.#requestNextChunk(from, chunk);
			return undefined;
		}

		const snapshot = JSON.parse(this.#text) as LogSnapshot;
		this.#sender = undefined;
		this.#text = '';
		return snapshot;
	}

	/** Reports to the leader, once the snapshot is synced, that the log matches up to its index. */
	acknowledge(from: LogMember, {term, index, sentAt}: Chunk): void {
		const {storage, send} = this.#context;
		storage.writes.whenSynced(() => {
			send(from.nodeId, {
				type: 'append-answer', term, ok: true, index, previousIndex: index, sentAt,
			}, from.storageId);
		});
	}

	#requestNextChunk(from: LogMember, {term, index, sentAt}: Chunk): void {
		this.#context.send(from.nodeId, {
			type: 'snapshot-answer', term, index, offset: this.#text.length, sentAt,
		}, from.storageId);
	}
}
