import {setTimeout as sleep} from 'node:timers/promises';

const pollMs = 100;

/** Sends requests at a constant rate, whatever becomes of the earlier ones. */
export class RequestLoop {
	readonly #send: () => Promise<void>;
	/** Number of requests in flight. */
	#open = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(send: () => Promise<void>) {
		this.#send = send;
	}

	start(perSecond: number): void {
		this.#timer = setInterval(async () => {
			this.#open += 1;
			await this.#send();
			this.#open -= 1;
		}, 1000 / perSecond);
	}

	/** Stops sending and waits for the requests in flight. */
	async finish(): Promise<void> {
		clearInterval(this.#timer);
		while (this.#open > 0) {
			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}
	}
}
