import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {LogMember} from './log-member.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import type {MemberContext} from './member-context.ts';

type Chunk = ConsensusMessage['body'] & {type: 'snapshot'};

/** Puts the parts of a leader's snapshot together, asks for the next one, and acknowledges the whole once it is synced. */
export class SnapshotReceiver {
	readonly #context: MemberContext;
	#sender: StorageId | undefined;
	#index = 0;
	#text = '';

	constructor(context: MemberContext) {
		this.#context = context;
	}

	/** Takes a part; returns the snapshot once it is whole, for installation before `acknowledge`. */
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

	/** Tells the leader that the log is level with the snapshot, once it is on the disk. */
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
