import {Buffer} from 'node:buffer';
import type {PeerMessage} from '../core/peer-message.ts';
import {constants} from '../settings/constants.ts';
import {PeerQueueBudget} from './peer-queue-budget.ts';

type QueuedMessage = {readonly text: string; readonly bytes: number};

type MessageBatchesOptions = {
	/** Bounds the queues of all peers together. @default a budget of its own */
	readonly budget?: PeerQueueBudget;
	/** Called for each message that is dropped. */
	readonly onDropped?: () => void;
};

/**
 * Messages that wait to be sent to one peer, as JSON texts. An iteration step gives the oldest ones, up to
 * `constants.maxPeerFrameBytes`; the oldest are dropped beyond `constants.maxPeerQueue`, `constants.maxPeerQueueBytes`
 * and the budget of all peers.
 */
export class MessageBatches implements AsyncIterable<string[]> {
	readonly #budget: PeerQueueBudget;
	readonly #onDropped: (() => void) | undefined;
	#messages: QueuedMessage[] = [];
	/** Size of the messages that wait and of the batch that was given out last, which is in memory until the next one is asked for, in bytes. */
	#bytes = 0;
	#batchBytes = 0;
	#isDue = false;
	#closed = false;
	#wake: (() => void) | undefined;

	constructor({budget = new PeerQueueBudget(constants.maxPeerQueuesBytes), onDropped}: MessageBatchesOptions = {}) {
		this.#budget = budget;
		this.#onDropped = onDropped;
		budget.add(this);
	}

	get bytes(): number {
		return this.#bytes;
	}

	push(message: PeerMessage): void {
		if (this.#closed) {
			return;
		}

		const text = JSON.stringify(message);
		const bytes = Buffer.byteLength(text);
		this.#messages.push({text, bytes});
		this.#count(bytes);
		let isOver = true;
		while (isOver) {
			isOver = (this.#messages.length > constants.maxPeerQueue || this.#bytes > constants.maxPeerQueueBytes) && this.dropOldest();
		}

		this.#budget.enforce();
		this.#wake?.();
	}

	dropOldest(): boolean {
		if (this.#messages.length < 2) {
			return false;
		}

		this.#count(-this.#messages.shift()!.bytes);
		this.#onDropped?.();
		return true;
	}

	/** Makes the next iteration step end, even without messages. */
	flush(): void {
		this.#isDue = true;
		this.#wake?.();
	}

	/** Ends the iterations; messages that still wait are dropped. */
	close(): void {
		this.#closed = true;
		this.#budget.remove(this);
		this.#messages = [];
		this.#count(-this.#bytes);
		this.#batchBytes = 0;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<string[], void> {
		try {
			for (;;) {
				this.#releaseBatch();
				while (this.#messages.length === 0 && !this.#isDue && !this.#closed) {
					await this.#change(); // eslint-disable-line no-await-in-loop
				}

				if (this.#closed) {
					return;
				}

				this.#isDue = false;
				yield this.#takeBatch();
			}
		} finally {
			this.#releaseBatch();
		}
	}

	#takeBatch(): string[] {
		let count = 0;
		for (const {bytes} of this.#messages) {
			if (count > 0 && this.#batchBytes + bytes > constants.maxPeerFrameBytes) {
				break;
			}

			this.#batchBytes += bytes;
			count += 1;
		}

		return this.#messages.splice(0, count).map(({text}) => text);
	}

	#releaseBatch(): void {
		this.#count(-this.#batchBytes);
		this.#batchBytes = 0;
	}

	#count(difference: number): void {
		this.#bytes += difference;
		this.#budget.count(difference);
	}

	async #change(): Promise<void> {
		return new Promise(resolve => {
			this.#wake = () => {
				this.#wake = undefined;
				resolve();
			};
		});
	}
}
