import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RefusalPlan} from './refusal-plan.ts';

type Copy = NonNullable<RefusalPlan['copies']> & {readonly id: string; readonly bytes: Buffer};

const reasons = {421: 'Misdirected Request', 429: 'Too Many Requests', 503: 'Service Unavailable'};
/** Time between two parts of copies, in milliseconds. */
const partGapMs = 2;

/** Refusals that an engine writes, and the copies of them, each on the connection of its refusal. */
export class Refusals {
	/** Number of refusals. */
	count = 0;
	/** Number of refusals that were written once more, or several times. */
	copied = 0;
	/** Number of these whose copy came while the same request was under way again on the connection. */
	copiedInProgress = 0;
	readonly #due = new WeakMap<Socket, Copy[]>();

	/** Refuses a request. */
	write(res: ServerResponse, id: string, {status, retryAfter, body, copies}: RefusalPlan): void {
		// With all of these fields Node adds none of its own, so that the copy has the same bytes.
		const headers = {
			...status !== 421 && {'Not-Executed': '1'},
			...retryAfter !== undefined && {'Retry-After': retryAfter},
			'Request-Identifier': id,
			Connection: 'keep-alive',
			'Keep-Alive': 'timeout=5',
			'Content-Length': String(Buffer.byteLength(body)),
		};
		const {socket} = res;
		this.count += 1;
		res.sendDate = false;
		res.writeHead(status, reasons[status], headers).end(body);
		if (copies === undefined || socket === null) {
			return;
		}

		const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		const copy = {...copies, id, bytes: Buffer.from(`HTTP/1.1 ${status} ${reasons[status]}\r\n${fields}\r\n${body}`.repeat(copies.count))};
		if (copies.when === 'at-once') {
			this.#writeCopy(socket, copy);
			return;
		}

		this.#due.set(socket, [...this.#due.get(socket) ?? [], copy]);
	}

	/** Writes the copies that are due when a request has arrived on a connection. */
	noteArrival(socket: Socket, id: string): void {
		const waiting = this.#due.get(socket) ?? [];
		const isDue = (copy: Copy) => copy.when === 'next' || copy.id === id;
		this.#due.set(socket, waiting.filter(copy => !isDue(copy)));
		for (const copy of waiting.filter(copy => isDue(copy))) {
			this.copiedInProgress += copy.id === id ? 1 : 0;
			this.#writeCopy(socket, copy);
		}
	}

	#writeCopy(socket: Socket, {bytes, delayMs, parts}: Copy): void {
		this.copied += 1;
		const size = Math.ceil(bytes.length / parts);
		// All timers are set at once: those that are late run in order, so that no answer comes between the parts.
		for (let part = 0; part < parts; part++) {
			setTimeout(() => {
				if (!socket.destroyed) {
					socket.write(bytes.subarray(part * size, (part + 1) * size));
				}
			}, delayMs + (part * partGapMs));
		}
	}
}
