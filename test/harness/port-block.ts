import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** The range lies below the ephemeral ports, which the kernel assigns to outgoing connections. */
const firstPort = 10_000;
const lastPort = 32_000;
const blockSize = 400;
const maxTries = 200;

/** A block of ports for one installation; a listener on its first port reserves it against other test processes on the machine. */
export class PortBlock {
	static async reserve(): Promise<PortBlock> {
		for (let attempt = 0; attempt < maxTries; attempt++) {
			const blocks = Math.floor((lastPort - firstPort) / blockSize);
			const base = firstPort + (Math.floor(Math.random() * blocks) * blockSize);
			const reservation = createServer().listen(base, '127.0.0.1');
			try {
				await once(reservation, 'listening'); // eslint-disable-line no-await-in-loop
				return new PortBlock(base, reservation);
			} catch {
				// Another process has reserved this block.
			}
		}

		throw new Error('no free block of ports');
	}

	#next: number;
	readonly #reservation: Server;

	private constructor(base: number, reservation: Server) {
		this.#next = base + 1;
		this.#reservation = reservation;
	}

	next(): number {
		this.#next += 1;
		return this.#next - 1;
	}

	release(): void {
		this.#reservation.close();
	}
}
