import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {setImmediate as nextLoopTurn} from 'node:timers/promises';

/** Turns of the event loop after which what has reached a connection has been read: one for its data, one for its end. */
const readTurns = 2;

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

	/** False, once the response is closed, if the caller has left. Takes two turns of the event loop, except within `whileConfirmed`. */
	async confirm(): Promise<boolean> {
		if (this.#isConfirmed) {
			return true;
		}

		for (let turn = 0; turn < readTurns; turn++) {
			await nextLoopTurn(); // eslint-disable-line no-await-in-loop
		}

		const {req: {socket}, closed, destroyed} = this.#res;
		if (closed || destroyed || socket.destroyed) {
			return false;
		}

		if (socket.readableEnded) {
			// The server closes its side as well.
			await once(this.#res, 'close');
			return false;
		}

		return true;
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
