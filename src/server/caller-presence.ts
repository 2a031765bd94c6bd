import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {pendingReads} from './pending-reads.ts';

/** Time by which the end of a connection may arrive after the bytes before it, in milliseconds: a round trip between regions, if both were held up and are sent again. */
const maxEndDelayMs = 200;
/** Time after which operators and targets make a call at another node, in milliseconds. */
const defaultPatienceMs = 1000;

/**
 * Tells whether a caller still waits for its answer. A request may be read, and an attempt may be started, long after
 * the caller has left: a busy process reads late, accepts only one connection in each turn of its event loop, and calls
 * timers before it reads. A caller that has left must not cost a target any work, so the end of the connection is
 * looked for first.
 */
export class CallerPresence {
	readonly #res: ServerResponse;
	#isConfirmed = false;

	constructor(res: ServerResponse) {
		this.#res = res;
	}

	/** True once the end of the connection was read, or the connection broke. */
	get hasLeft(): boolean {
		const {req: {socket}, closed, destroyed} = this.#res;
		return closed || destroyed || socket.destroyed || socket.readableEnded;
	}

	/** False, once the response is closed, if the caller has left. Waits for pending reads, except within `whileConfirmed`. */
	async confirm(): Promise<boolean> {
		if (this.#isConfirmed) {
			return true;
		}

		await pendingReads();
		const {req: {socket}, closed, destroyed} = this.#res;
		if (socket.readableEnded && !closed && !destroyed && !socket.destroyed) {
			// The server closes its side as well.
			await once(this.#res, 'close');
		}

		return !this.hasLeft;
	}

	/**
	 * Like `confirm`, for a change that its caller may have ordered elsewhere since: a request that was held up on the way
	 * may arrive before the end of its connection. False too if the process stood still until the caller has moved on.
	 */
	async confirmSettled({maxPatienceMs = defaultPatienceMs}: {readonly maxPatienceMs?: number} = {}): Promise<boolean> {
		const since = performance.now();
		await sleep(maxEndDelayMs);
		return await this.confirm() && performance.now() - since < maxPatienceMs;
	}

	/** Calls `handle` once, as soon as the caller leaves or its answer is complete; `left` tells which. */
	onceEnded(handle: (left: boolean) => void): void {
		const res = this.#res;
		const {socket} = res.req;
		// The response is closed some turns of the event loop after the end of the connection was read.
		const finish = () => {
			socket.off('end', finish);
			socket.off('error', finish);
			res.off('close', finish);
			handle(!res.writableFinished);
		};

		socket.once('end', finish);
		socket.once('error', finish);
		res.once('close', finish);
	}

	/** Performs an action right after `confirm`; what it starts need not look for the end of the connection again. */
	whileConfirmed(action: () => void): void {
		this.#isConfirmed = true;
		try {
			action();
		} finally {
			this.#isConfirmed = false;
		}
	}
}
