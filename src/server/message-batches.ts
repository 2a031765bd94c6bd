import type {PeerMessage} from '../core/peer-message.ts';
import {constants} from '../settings/constants.ts';

/**
 * Messages that wait to be sent to one peer, as JSON texts. An iteration step gives all that came since the last one;
 * the oldest are dropped beyond `constants.maxPeerQueue`.
 */
export class MessageBatches implements AsyncIterable<string[]> {
	#messages: string[] = [];
	#isDue = false;
	#closed = false;
	#wake: (() => void) | undefined;

	push(message: PeerMessage): void {
		this.#messages.push(JSON.stringify(message));
		if (this.#messages.length > constants.maxPeerQueue) {
			this.#messages.splice(0, this.#messages.length - constants.maxPeerQueue);
		}

		this.#wake?.();
	}

	/** Makes the next iteration step end, even without messages. */
	flush(): void {
		this.#isDue = true;
		this.#wake?.();
	}

	/** Ends the iterations; messages that still wait are dropped. */
	close(): void {
		this.#closed = true;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<string[], void> {
		for (;;) {
			while (this.#messages.length === 0 && !this.#isDue && !this.#closed) {
				await this.#change(); // eslint-disable-line no-await-in-loop
			}

			if (this.#closed) {
				return;
			}

			const messages = this.#messages;
			this.#messages = [];
			this.#isDue = false;
			yield messages;
		}
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
