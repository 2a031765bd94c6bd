import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** The range lies below the ephemeral ports, which the kernel assigns to outgoing connections. */
const firstPort = 10_000;
const lastPort = 32_000;
const blockSize = 400;
const maxTries = 200;

/** A block of ports for one installation; a listener on its first port reserves it against other test processes on the machine. */
export class PortBlock {
	/** Reserves a block, or, with `size`, a part of one whose other parts go to the same test process; that block is kept until the process ends. */
	static async reserve({size = blockSize}: {size?: number} = {}): Promise<PortBlock> {
		if (size >= blockSize) {
			return PortBlock.#reserveWhole();
		}

		for (;;) {
			PortBlock.#shared ??= PortBlock.#reserveWhole();
			const shared = PortBlock.#shared;
			try {
				const block = await shared; // eslint-disable-line no-await-in-loop
				if (block.#end - block.#next >= size) {
					return block.#part(size);
				}
			} catch (error) {
				PortBlock.#shared = undefined;
				throw error;
			}

			if (PortBlock.#shared === shared) {
				PortBlock.#shared = undefined;
			}
		}
	}

	/** The block from which parts are taken. */
	static #shared: Promise<PortBlock> | undefined;

	static async #reserveWhole(): Promise<PortBlock> {
		for (let attempt = 0; attempt < maxTries; attempt++) {
			const blocks = Math.floor((lastPort - firstPort) / blockSize);
			const base = firstPort + (Math.floor(Math.random() * blocks) * blockSize);
			const reservation = createServer().listen(base, '127.0.0.1');
			try {
				await once(reservation, 'listening'); // eslint-disable-line no-await-in-loop
				// A block that is not released ends with its process and doesn't keep it.
				reservation.unref();
				return new PortBlock(base + 1, base + blockSize, reservation);
			} catch {
				// Another process has reserved this block.
			}
		}

		throw new Error('no free block of ports');
	}

	#next: number;
	readonly #end: number;
	readonly #reservation: Server | undefined;

	private constructor(first: number, end: number, reservation?: Server) {
		this.#next = first;
		this.#end = end;
		this.#reservation = reservation;
	}

	/** @throws if each port of the block is taken. */
	next(): number {
		if (this.#next >= this.#end) {
			throw new Error('no port is left in the block');
		}

		this.#next += 1;
		return this.#next - 1;
	}

	release(): void {
		this.#reservation?.close();
	}

	#part(size: number): PortBlock {
		const first = this.#next;
		this.#next += size;
		return new PortBlock(first, this.#next);
	}
}
