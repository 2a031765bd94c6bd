import type {Client} from 'undici';
import type {ConnectionUse} from '../core/common/connection-use.ts';

/** A connection that carries one request at a time. */
export class PooledConnection {
	static #count = 0;
	readonly client: Client;
	isBusy = false;
	readonly #number: number;
	/** Requests that had no complete, successful answer. */
	readonly #failed = new Set<string>();
	#requests = 0;

	constructor(client: Client) {
		PooledConnection.#count += 1;
		this.#number = PooledConnection.#count;
		this.client = client;
	}

	/** Records a request that is about to be sent. */
	begin(requestKey: string): ConnectionUse {
		const use = {
			connection: this.#number, earlierRequests: this.#requests, earlierFailures: this.#failed.size, isRepeat: this.#failed.has(requestKey),
		};
		this.isBusy = true;
		this.#requests += 1;
		this.#failed.add(requestKey);
		return use;
	}

	/** Records that a request had a complete, successful answer. */
	complete(requestKey: string): void {
		this.#failed.delete(requestKey);
	}
}
