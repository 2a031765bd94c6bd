import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {ParseQueue} from '../core/memory/parse-queue.ts';
import {PacedConnection} from './paced-connection.ts';
import type {ProcessMemory} from './process-memory.ts';

/** Time that a server may parse in one turn of the event loop, in milliseconds, so that other work goes on in between. */
const turnBudgetMs = 8;
/** Slices of waiting bytes that are parsed in one turn; each may begin several requests, whose cost comes later. */
const maxSlicesPerTurn = 16;

/** Paces the parsing of what an HTTP server receives: bounds the work of each turn of the event loop, and the requests that one connection has in progress. */
export class RequestPacer {
	readonly #memory: ProcessMemory;
	readonly #connections = new Map<Socket, PacedConnection>();
	readonly #queue = new ParseQueue<PacedConnection>();
	#spentMs = 0;
	#turn: NodeJS.Immediate | undefined;

	constructor(memory: ProcessMemory) {
		this.#memory = memory;
	}

	/** Takes over the bytes of a connection that Node's server has just accepted. */
	accept(socket: Socket): void {
		const [feed] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
		if (feed === undefined) {
			return;
		}

		const connection = new PacedConnection(socket, feed, this.#memory);
		this.#connections.set(socket, connection);
		socket.off('data', feed);
		socket.on('data', (bytes: Buffer) => {
			connection.receive(bytes);
			this.#advance(connection);
		});
		socket.on('resume', () => {
			this.#advance(connection);
		});
		socket.on('error', ({code}: NodeJS.ErrnoException) => {
			if (code === 'HPE_HEADER_OVERFLOW') {
				this.#memory.turnedAway('oversized-head');
			}
		});
		socket.once('close', () => {
			this.#connections.delete(socket);
			this.#queue.delete(connection);
			connection.close();
		});
	}

	/** Records a request that was parsed; false if it must not be handled, since its connection was closed. */
	begin(req: IncomingMessage, res: ServerResponse): boolean {
		const connection = this.#connections.get(req.socket);
		if (connection === undefined) {
			return !req.socket.destroyed;
		}

		if (!connection.begin(req, res)) {
			return false;
		}

		res.once('close', () => {
			connection.end(res);
			if (connection.isReady) {
				this.#enqueue(connection);
			} else if (connection.isIdle) {
				this.#queue.clear(connection);
			}
		});
		return true;
	}

	/** Parses what a connection has received, as far as this turn allows; the rest waits. */
	#advance(connection: PacedConnection): void {
		if (this.#queue.size === 0) {
			while (connection.isReady && this.#spentMs < turnBudgetMs) {
				this.#parse(connection);
			}
		}

		if (connection.isReady) {
			this.#enqueue(connection);
		}

		connection.settle();
	}

	#enqueue(connection: PacedConnection): void {
		this.#queue.add(connection);
		this.#scheduleTurn();
	}

	#parse(connection: PacedConnection): void {
		const startedAt = performance.now();
		connection.parse({isHeavy: this.#queue.isHeavy(connection)});
		const costMs = performance.now() - startedAt;
		this.#queue.charge(connection, costMs);
		this.#spentMs += costMs;
		this.#scheduleTurn();
	}

	#scheduleTurn(): void {
		this.#turn ??= setImmediate(() => {
			this.#turn = undefined;
			this.#spentMs = 0;
			this.#parseQueued();
		});
	}

	#parseQueued(): void {
		for (let slices = 0; slices < maxSlicesPerTurn && this.#spentMs < turnBudgetMs; slices++) {
			const connection = this.#queue.next();
			if (connection === undefined) {
				return;
			}

			if (connection.isReady) {
				this.#parse(connection);
			}

			if (connection.isReady) {
				this.#queue.add(connection);
			}

			connection.settle();
		}

		if (this.#queue.size > 0) {
			this.#scheduleTurn();
		}
	}
}
