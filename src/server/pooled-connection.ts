import type {Socket} from 'node:net';
import type {buildConnector, Client} from 'undici';
import type {ConnectionUse} from '../core/common/connection-use.ts';

/** Number of requests without a successful answer after which a connection is not reused. */
const maxUnanswered = 256;

/** Time for which a target may take to end its side of a connection, in milliseconds. */
const maxEndMs = 100;

/** A connection that carries one request at a time. */
export class PooledConnection {
	static #count = 0;
	readonly client: Client;
	/** True while a request is in progress, and once the connection is being ended. */
	isBusy = false;
	/** True until its request has the head of an answer or has failed: it may not have been sent yet. */
	isAwaited = false;
	readonly #number: number;
	/** Requests without a complete, successful answer, the one in progress among them. */
	readonly #unanswered = new Set<string>();
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
	hasCarried(requestKey: string): boolean {
		return this.#unanswered.has(requestKey);
	}

	/** True if it has carried too many such requests to remember more of them. */
	get isWornOut(): boolean {
		return this.#unanswered.size >= maxUnanswered;
	}

	/** Records a request that is about to be sent. */
	begin(requestKey: string): ConnectionUse {
		const use = {
			connection: this.#number, earlierRequests: this.#requests, earlierFailures: this.#unanswered.size, isRepeat: this.hasCarried(requestKey),
		};
		this.isBusy = true;
		this.isAwaited = true;
		this.#requests += 1;
		this.#unanswered.add(requestKey);
		return use;
	}

	/** True unless it has begun another request since. */
	isLatest({earlierRequests}: ConnectionUse): boolean {
		return earlierRequests === this.#requests - 1;
	}

	/** Records that a request had a complete, successful answer. */
	complete(requestKey: string): void {
		this.#unanswered.delete(requestKey);
	}

	/** Ends an idle connection; resolves once the target has ended it too, or after `maxEndMs`. */
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
