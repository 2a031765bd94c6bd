import type {Socket} from 'node:net';
import type {buildConnector, Client, Dispatcher} from 'undici';
import ClientClass from 'undici/lib/dispatcher/client.js';
import type {ConnectionUse} from '../core/common/connection-use.ts';

type PooledConnectionOptions = Client.Options & {
	readonly origin: string;
	readonly connect: buildConnector.connector;
};

/** Number of requests after which a connection is not reused, which bounds what is remembered of them. */
const maxRequests = 256;

/** Time for which a target may take to end its side of a connection, in milliseconds. */
const maxEndMs = 100;

/** A connection that carries one request at a time. */
export class PooledConnection {
	static #count = 0;
	readonly client: Client;
	readonly #number: number;
	/** Keys of all requests, the one in progress among them. */
	readonly #carried = new Set<string>();
	#isIdle = true;
	#isAwaitingHead = false;
	#socket: Socket | undefined;

	constructor({origin, connect, ...options}: PooledConnectionOptions) {
		PooledConnection.#count += 1;
		this.#number = PooledConnection.#count;
		const client = new ClientClass(origin, {
			...options,
			pipelining: 1,
			connect: (target, callback) => {
				connect(target, (...result) => {
					this.#socket = result[1] ?? undefined;
					callback(...result);
				});
			},
		});
		this.client = client.on('drain', () => {
			this.#isIdle = true;
		});
	}

	/** True if no request is in progress on it, and it is not being ended. */
	get isIdle(): boolean {
		return this.#isIdle;
	}

	/** True until its request has the head of an answer or has failed: it may not have been sent yet. */
	get isAwaitingHead(): boolean {
		return this.#isAwaitingHead;
	}

	/** True if it has carried the request. */
	hasCarried(requestKey: string): boolean {
		return this.#carried.has(requestKey);
	}

	/** True if it has carried as many requests as are remembered. */
	get isWornOut(): boolean {
		return this.#carried.size >= maxRequests;
	}

	/** Sends a request; resolves with the head of its answer. To be called only if the connection is idle and has not carried the request. */
	async request(requestKey: string, options: Dispatcher.RequestOptions): Promise<{readonly res: Dispatcher.ResponseData; readonly use: ConnectionUse}> {
		const use = {connection: this.#number, earlierRequests: this.#carried.size, isRepeat: this.hasCarried(requestKey)};
		this.#carried.add(requestKey);
		this.#isIdle = false;
		this.#isAwaitingHead = true;
		try {
			return {res: await this.client.request(options), use};
		} finally {
			this.#isAwaitingHead = false;
		}
	}

	/** True unless it has begun another request since. */
	isLatest({earlierRequests}: ConnectionUse): boolean {
		return earlierRequests === this.#carried.size - 1;
	}

	/** Ends an idle connection; resolves once the target has ended it too, or after `maxEndMs`. */
	async end(): Promise<void> {
		this.#isIdle = false;
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
