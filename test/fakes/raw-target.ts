import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RawAnswer} from './raw-answer.ts';

type RawRequest = {
	readonly path: string;
	readonly headers: ReadonlyMap<string, string>;
	/** Number of requests that the connection has carried before. */
	readonly earlier: number;
};

/** Time between the last bytes and the end of the connection, in milliseconds. */
const endDelayMs = 5;
const headEnd = '\r\n\r\n';

/** A target that answers each request with given bytes, and ends its connection in a given way. */
export class RawTarget {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(answer: (req: RawRequest) => RawAnswer) {
		this.#server = createServer({noDelay: true}, socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket)).on('error', () => undefined);
			let received = '';
			let earlier = 0;
			socket.setEncoding('latin1').on('data', text => {
				received += String(text);
				for (let request = takeRequest(received); request !== undefined; request = takeRequest(received)) {
					received = request.rest;
					void send(socket, answer({path: request.path, headers: request.headers, earlier}));
					earlier += 1;
				}
			});
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async listen(): Promise<void> {
		return new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	async close(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}
}

/** Takes the first whole request off the bytes of a connection; undefined if there is none yet. */
function takeRequest(received: string): {path: string; headers: ReadonlyMap<string, string>; rest: string} | undefined {
	const start = received.search(/[^\r\n]/v);
	const end = received.indexOf(headEnd, Math.max(start, 0));
	if (start === -1 || end === -1) {
		return undefined;
	}

	const [requestLine = '', ...lines] = received.slice(start, end).split('\r\n');
	const headers = new Map(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const bodyEnd = end + headEnd.length + Number(headers.get('content-length') ?? 0);
	return received.length < bodyEnd ? undefined : {path: requestLine.split(' ')[1]!, headers, rest: received.slice(bodyEnd)};
}

async function send(socket: Socket, {bytes, end}: RawAnswer): Promise<void> {
	if (end === 'with-bytes') {
		socket.end(bytes, 'latin1');
		return;
	}

	socket.write(bytes, 'latin1');
	if (end === 'never') {
		return;
	}

	if (end !== 'reset-at-once') {
		await sleep(endDelayMs);
	}

	if (end === 'later') {
		socket.end();
	} else {
		socket.resetAndDestroy();
	}
}
