import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {Millis} from '../core/ids/millis.ts';
import type {ConnectionKind} from '../core/memory/connection-kind.ts';
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
	/** Number of those of each connection. */
	readonly #openCounts = new WeakMap<Socket, number>();
	readonly #idleListeners: Array<() => void> = [];

	/** @param handle - Called with each request, in place of listeners of the server, and with what it is to hold. */
	constructor(server: Server, {memory, kind}: {readonly memory: ProcessMemory; readonly kind: ConnectionKind}, handle: (req: IncomingMessage, res: ServerResponse, hold: RequestHold) => void) {
		this.#server = server;
		const pacer = new RequestPacer(memory);
		const {connections} = memory;
		connections.open(kind);
		server.on('connection', (socket: Socket) => {
			const excess = connections.add(socket, {kind, address: socket.remoteAddress ?? ''}, now());
			if (excess !== undefined) {
				memory.turnedAway('too-many-connections');
				excess.destroy();
			}

			if (socket.destroyed) {
				return;
			}

			this.#sockets.add(socket);
			pacer.accept(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				connections.delete(socket);
			});
		});
		watchBrokenRequests(server, memory, socket => [...this.#open].some(({req}) => req.socket === socket && req.complete));
		server.on('request', (req, res: ServerResponse) => {
			if (!pacer.begin(req, res)) {
				return;
			}

			this.#open.add(res);
			const {socket} = req;
			this.#openCounts.set(socket, this.#countOf(socket) + 1);
			connections.set(socket, 'receiving', now());
			req.once('end', () => {
				// The rest of a request that was answered before its end is read later.
				if (this.#open.has(res)) {
					connections.set(socket, 'busy', now());
				}
			});
			res.once('close', () => {
				this.#openCounts.set(socket, this.#countOf(socket) - 1);
				if (this.#countOf(socket) === 0) {
					connections.set(socket, 'idle', now());
				}

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

	#countOf(socket: Socket): number {
		return this.#openCounts.get(socket) ?? 0;
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

/**
 * Counts clients whose head did not arrive in time, and closes connections that bring bytes that are no request while
 * an earlier request of theirs is in progress. Node would refuse such bytes on the connection, and the client would
 * take that for the answer to the earlier request, which runs. Node answers only where nobody listens to the event,
 * which is therefore looked at on its way.
 *
 * @param isBusy - True if a request that was read whole is in progress on the connection.
 */
function watchBrokenRequests(server: Server, memory: ProcessMemory, isBusy: (socket: Socket) => boolean): void {
	const emitEvent = server.emit.bind(server) as (event: string | symbol, ...args: unknown[]) => boolean;
	server.emit = (event: string | symbol, ...args: unknown[]) => {
		if (event !== 'clientError') {
			return emitEvent(event, ...args);
		}

		const [error, socket] = args as [NodeJS.ErrnoException, Socket];
		if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
			memory.turnedAway('slow-head');
		}

		if (isBusy(socket)) {
			socket.destroy();
			return true;
		}

		return emitEvent(event, ...args);
	};
}

function now(): Millis {
	return performance.now() as Millis;
}
