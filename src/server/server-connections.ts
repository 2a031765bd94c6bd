import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {pendingReads} from './pending-reads.ts';
import type {ProcessMemory} from './process-memory.ts';
import {RequestHold} from './request-hold.ts';
import {RequestPacer} from './request-pacer.ts';

/**
 * Connections of an HTTP server, whose requests are paced, and its responses that are not written to their end.
 *
 * `close` and `closeIdleConnections` of Node's server take a connection as idle once its response was handed over,
 * also while most of it waits for a caller that reads slowly, and cut it off.
 */
export class ServerConnections {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #open = new Set<ServerResponse>();
	readonly #idleListeners: Array<() => void> = [];

	/** @param handle - Called with each request, in place of listeners of the server, and with what it is to hold. */
	constructor(server: Server, memory: ProcessMemory, handle: (req: IncomingMessage, res: ServerResponse, hold: RequestHold) => void) {
		this.#server = server;
		const pacer = new RequestPacer(memory);
		server.on('connection', (socket: Socket) => {
			this.#sockets.add(socket);
			pacer.accept(socket);
			socket.once('close', () => this.#sockets.delete(socket));
		});
		server.on('request', (req, res: ServerResponse) => {
			if (!pacer.begin(req, res)) {
				return;
			}

			this.#open.add(res);
			res.once('close', () => {
				this.#recordEnd(res);
			});
			handle(req, res, new RequestHold(memory, req, res));
		});
	}

	/** Stops accepting connections and closes those on which nothing is answered, once the requests that have arrived on them are read; calls `onClosed` once all have ended. */
	async stopListening(onClosed?: () => void): Promise<void> {
		await pendingReads();
		NetServer.prototype.close.call(this.#server, onClosed);
		const busy = new Set([...this.#open].map(({req}) => req.socket));
		for (const socket of this.#sockets) {
			if (!busy.has(socket)) {
				socket.destroy();
			}
		}
	}

	/** Resolves once no request is read or answered. */
	async idle(): Promise<void> {
		if (this.#open.size > 0) {
			await new Promise<void>(resolve => {
				this.#idleListeners.push(resolve);
			});
		}
	}

	#recordEnd(res: ServerResponse): void {
		this.#open.delete(res);
		if (this.#open.size === 0) {
			for (const resolve of this.#idleListeners.splice(0)) {
				resolve();
			}
		}
	}
}
