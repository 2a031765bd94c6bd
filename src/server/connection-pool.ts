import type {buildConnector, Client, Dispatcher} from 'undici';
import methods from 'undici/lib/api/index.js';
import DispatcherClass from 'undici/lib/dispatcher/dispatcher.js';
import {PooledConnection} from './pooled-connection.ts';
import type {PooledResponse} from './pooled-response.ts';

// The index of undici does the same, but also loads fetch, WebSocket, caches and mocks, which lengthen the start of an entry.
Object.assign(DispatcherClass.prototype, methods);

const ignore = () => undefined;

type ConnectionPoolOptions = Client.Options & {readonly connect: buildConnector.connector};

type PooledRequest = Omit<Dispatcher.RequestOptions, 'origin'> & {
	readonly origin: string;
	/** Identifies the request in its answer. */
	readonly requestKey: string;
	readonly signal?: AbortSignal;
};

/**
 * HTTP connections by origin, each of which carries one request at a time.
 *
 * A faulty target may write an earlier answer once more, where the next one is due. The key in it tells requests apart,
 * but not two attempts of one request. Therefore a request is never sent twice on one connection, and a connection is
 * not reused after an unsuccessful answer without a key.
 */
export class ConnectionPool {
	readonly #options: ConnectionPoolOptions;
	readonly #connections = new Map<string, Set<PooledConnection>>();
	/** Connections that are taken out of the pool, until their last request is answered. */
	readonly #retired = new Set<PooledConnection>();
	#isClosed = false;

	constructor(options: ConnectionPoolOptions) {
		this.#options = options;
	}

	/** Sends a request on an idle connection that has not carried it, or on a new one; resolves with the head of its answer. */
	async request({requestKey, ...options}: PooledRequest): Promise<PooledResponse> {
		let connection = this.#findIdle(options.origin, requestKey);
		if (connection === undefined) {
			await this.#endIdle(options.origin);
			options.signal?.throwIfAborted();
			connection = this.#open(options.origin);
		}

		try {
			const {res, use} = await connection.request(requestKey, options);
			return {
				res,
				use,
				retire: () => {
					this.#retire(options.origin, connection);
				},
				destroy: () => {
					if (connection.isLatest(use)) {
						this.#destroy(options.origin, connection);
					}
				},
			};
		} catch (error) {
			// Not only closed: for a request that was cancelled, the HTTP client would open another connection in vain.
			this.#destroy(options.origin, connection);
			throw error;
		}
	}

	/** Closes all connections once their requests are answered. */
	async close(): Promise<void> {
		// A client that is being destroyed can't be closed, only be waited for.
		await Promise.all(this.#end().map(async client => client.destroyed ? client.destroy() : client.close()));
	}

	/** Closes all connections at once. */
	async destroy(): Promise<void> {
		await Promise.all(this.#end().map(async client => client.destroy()));
	}

	/** An idle connection that has not carried the request. */
	#findIdle(origin: string, requestKey: string): PooledConnection | undefined {
		for (const connection of this.#connections.get(origin) ?? []) {
			if (connection.isIdle && !connection.hasCarried(requestKey)) {
				return connection;
			}
		}

		return undefined;
	}

	/** Ends an idle connection, if there is one, before a new one takes its place: a target at its limit would reset that. */
	async #endIdle(origin: string): Promise<void> {
		for (const connection of this.#connections.get(origin) ?? []) {
			if (connection.isIdle) {
				await connection.end(); // eslint-disable-line no-await-in-loop
				this.#retire(origin, connection);
				return;
			}
		}
	}

	#open(origin: string): PooledConnection {
		if (this.#isClosed) {
			throw new Error('the connection pool is closed');
		}

		const connection = new PooledConnection({...this.#options, origin});
		connection.client
			.on('drain', () => {
				if (connection.isWornOut) {
					// Not only once a new connection takes its place, which would wait for its end.
					this.#retire(origin, connection);
				}
			})
			.on('disconnect', () => {
				if (connection.isAwaitingHead) {
					// A request that came while the connection was being closed is still sent, on one that replaces it.
					this.#retire(origin, connection);
				} else {
					this.#destroy(origin, connection);
				}
			});
		const connections = this.#connections.get(origin) ?? new Set();
		this.#connections.set(origin, connections.add(connection));
		return connection;
	}

	/** Takes a connection out of the pool; it is closed once its request, if any, is answered. */
	#retire(origin: string, connection: PooledConnection): void {
		this.#remove(origin, connection);
		this.#retired.add(connection);
		connection.client.close(() => {
			this.#retired.delete(connection);
		});
	}

	/** Takes a connection out of the pool and closes it at once. */
	#destroy(origin: string, connection: PooledConnection): void {
		this.#remove(origin, connection);
		connection.client.destroy(ignore);
	}

	#remove(origin: string, connection: PooledConnection): void {
		const connections = this.#connections.get(origin);
		connections?.delete(connection);
		if (connections?.size === 0) {
			this.#connections.delete(origin);
		}
	}

	#end(): readonly Client[] {
		this.#isClosed = true;
		const connections = [...this.#retired, ...[...this.#connections.values()].flatMap(ofOrigin => [...ofOrigin])];
		this.#connections.clear();
		return connections.map(({client}) => client);
	}
}
