import type {Socket} from 'node:net';
import type {buildConnector, Client} from 'undici';
import type {ConnectionUse} from '../core/common/connection-use.ts';

/** Number of failed requests from which on a connection is not reused, which bounds what is remembered of them. */
const maxFailed = 256;

/** Time for which a target may take to end its side of a connection, in milliseconds. */
const maxEndMs = 100;

/** A connection that carries one request at a time. */
export class PooledConnection {
	static #count = 0;
	readonly client: Client;
	isBusy = false;
	/** True while its request may not have been sent yet: neither the head of an answer nor a failure has come. */
	isAwaited = false;
	readonly #number: number;
	/** Requests that had no complete, successful answer. */
	readonly #failed = new Set<string>();
	#requests = 0;
	#socket: Socket | undefined;

	constructor(connect: buildConnector.connector, createClient: (connect: buildConnector.connector) => Client) {
		PooledConnection.#count += 1;
		this.#number = PooledConnection.#count;
		this.client = createClient((options, callback) => {
			connect(options, (...result) => {
				this.#socket = result[1] ?? undefined;
				callback(...result);
			});
		});
	}

	/** True if it has carried the request without a complete, successful answer. */
	hasFailed(requestKey: string): boolean {
		return this.#failed.has(requestKey);
	}

	/** True if it has carried too many failed requests to remember more of them. */
	get isWornOut(): boolean {
		return this.#failed.size >= maxFailed;
	}

	/** Records a request that is about to be sent. */
	begin(requestKey: string): ConnectionUse {
		const use = {
			connection: this.#number, earlierRequests: this.#requests, earlierFailures: this.#failed.size, isRepeat: this.hasFailed(requestKey),
		};
		this.isBusy = true;
		this.isAwaited = true;
		this.#requests += 1;
		this.#failed.add(requestKey);
		return use;
	}

	/** True unless it has begun another request since. */
	isLatest({earlierRequests}: ConnectionUse): boolean {
		return earlierRequests === this.#requests - 1;
	}

	/** Records that a request had a complete, successful answer. */
	complete(requestKey: string): void {
		this.#failed.delete(requestKey);
	}

	/** Ends an idle connection; resolves once the target has ended it too, and no longer counts it. */
	async end(): Promise<void> {
		this.isBusy = true;
		const socket = this.#socket;
		if (socket === undefined || socket.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, maxEndMs);
			socket.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
			socket.end();
		});
	}
}
