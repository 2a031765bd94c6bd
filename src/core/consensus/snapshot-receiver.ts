import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {LogSnapshot} from './log-snapshot.ts';

type Chunk = ConsensusMessage['body'] & {type: 'snapshot'};

/** Puts the parts of a leader's snapshot together. */
export class SnapshotReceiver {
	#from: StorageId | undefined;
	#index = 0;
	#text = '';

	/** Takes a part; returns the snapshot once it is whole, else the offset that is missing next. */
	receive(from: StorageId, {index, offset, total, text}: Chunk): LogSnapshot | number {
		if (from !== this.#from || index !== this.#index) {
			this.#from = from;
			this.#index = index;
			this.#text = '';
		}

		if (offset === this.#text.length) {
			this.#text += text;
		}

		if (this.#text.length < total) {
			return this.#text.length;
		}

		const snapshot = JSON.parse(this.#text) as LogSnapshot;
		this.#from = undefined;
		this.#text = '';
		return snapshot;
	}
}
