import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Refusals of the first request of each connection, which are written again in place of the answers to its later ones. */
export class DoubledRefusals {
	readonly #refusals = new WeakMap<Socket, string>();

	/** True if the connection has carried a refusal. */
	has(socket: Socket): boolean {
		return this.#refusals.has(socket);
	}

	/** Refuses the first request of a connection; for later ones writes that refusal again. */
	write({headers, socket}: IncomingMessage): void {
		const identifier = String(headers['request-identifier']);
		const refusal = this.#refusals.get(socket)
			?? ['HTTP/1.1 503 Service Unavailable', 'Not-Executed: 1', `Request-Identifier: ${identifier}`, 'Content-Length: 0', '', ''].join('\r\n');
		this.#refusals.set(socket, refusal);
		socket.write(refusal);
	}
}
