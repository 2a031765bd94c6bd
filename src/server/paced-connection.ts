import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {constants} from '../settings/constants.ts';
import {MemoryHold} from './memory-hold.ts';
import type {ProcessMemory} from './process-memory.ts';

type Feed = (bytes: Buffer) => void;

/** Bytes of a body that are parsed at a time. */
const bodySliceBytes = 16_384;
/** Bytes that are parsed at a time on a connection that is expensive or has no request in progress. */
const headSliceBytes = 2048;
/** Bytes that are parsed at a time on a connection with requests behind each other: a few of the smallest. */
const pipelinedSliceBytes = 256;

/**
 * A connection of an HTTP server whose received bytes are parsed in slices. Node's server parses up to 64 KB at a time:
 * thousands of requests behind each other, or ten thousand chunks. Here the next request is parsed once the one before
 * is answered, and reading stops meanwhile.
 */
export class PacedConnection {
	readonly #socket: Socket;
	readonly #feed: Feed;
	readonly #memory: ProcessMemory;
	readonly #hold: MemoryHold;
	readonly #open = new Set<ServerResponse>();
	#rest: Buffer[] = [];
	#restBytes = 0;
	#headBytes = 0;
	#request: IncomingMessage | undefined;
	#isPipelined = false;
	#isStopped = false;

	constructor(socket: Socket, feed: Feed, memory: ProcessMemory) {
		this.#socket = socket;
		this.#feed = feed;
		this.#memory = memory;
		this.#hold = new MemoryHold(memory.heads, () => {
			memory.turnedAway('unread-head');
			socket.destroy();
		});
	}

	/** True if bytes wait that may be parsed now. */
	get isReady(): boolean {
		return this.#restBytes > 0 && !this.#socket.destroyed && !this.#isBlocked;
	}

	/** True if nothing is received, parsed or answered. */
	get isIdle(): boolean {
		return this.#restBytes === 0 && this.#open.size === 0 && this.#headBytes === 0;
	}

	/** Records bytes that were read. */
	receive(bytes: Buffer): void {
		this.#rest.push(bytes);
		this.#restBytes += bytes.length;
	}

	/** Records a request that was parsed; false if there are too many of them, and the connection was closed. */
	begin(req: IncomingMessage, res: ServerResponse): boolean {
		if (this.#socket.destroyed) {
			return false;
		}

		this.#isPipelined = this.#open.size > 0;
		if (this.#open.size >= constants.maxPipelinedRequests) {
			this.#memory.turnedAway('pipelined');
			this.#socket.destroy();
			return false;
		}

		this.#open.add(res);
		this.#request = req;
		this.#headBytes = 0;
		return true;
	}

	/** Records that a response was written to its end, or given up. */
	end(res: ServerResponse): void {
		this.#open.delete(res);
		if (this.#open.size === 0 && this.#restBytes === 0) {
			this.#isPipelined = false;
		}
	}

	/** Parses the next slice. */
	parse({isHeavy}: {isHeavy: boolean}): void {
		const slice = this.#takeSlice(isHeavy);
		if (!this.#isReceivingBody) {
			this.#headBytes += slice.length;
		}

		this.#feed(slice);
	}

	/** Stops reading while received bytes wait, and goes on once they are parsed; counts what waits. */
	settle(): void {
		if (this.#socket.destroyed) {
			return;
		}

		this.#hold.set(this.#restBytes + this.#headBytes);
		if (this.#restBytes > 0) {
			this.#isStopped = true;
			this.#socket.pause();
		} else if (this.#isStopped) {
			this.#isStopped = false;
			if (!this.#isBackpressured) {
				this.#socket.resume();
			}
		}
	}

	/** Ends the count of what is held, and the responses that wait behind another one: Node's server closes only the one in front. */
	close(): void {
		this.#rest = [];
		this.#restBytes = 0;
		this.#hold.close();
		setImmediate(() => {
			for (const res of this.#open) {
				res.destroy();
				res.emit('close');
			}
		});
	}

	get #isReceivingBody(): boolean {
		return this.#request !== undefined && !this.#request.complete;
	}

	/** True while an earlier response has to be written first, or the body or the response is not read by the other side. */
	get #isBlocked(): boolean {
		return this.#open.size > (this.#isReceivingBody ? 1 : 0) || this.#isBackpressured;
	}

	/** True while Node's server has stopped reading itself, which goes on by itself. */
	get #isBackpressured(): boolean {
		const isBodyFull = this.#request !== undefined && this.#isReceivingBody
			&& this.#request.readableFlowing !== true && this.#request.readableLength >= this.#request.readableHighWaterMark;
		// Node's server asserts that it gets no bytes while it has set this.
		return isBodyFull || (this.#socket as Socket & {_paused?: boolean})._paused === true;
	}

	#takeSlice(isHeavy: boolean): Buffer {
		const most = this.#isPipelined ? pipelinedSliceBytes : (this.#isReceivingBody && !isHeavy ? bodySliceBytes : headSliceBytes);
		const first = this.#rest[0]!;
		const slice = first.length <= most ? first : first.subarray(0, most);
		this.#restBytes -= slice.length;
		if (slice === first) {
			this.#rest.shift();
		} else {
			this.#rest[0] = first.subarray(most);
		}

		return slice;
	}
}
