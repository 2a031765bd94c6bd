import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import type {Millis} from '../core/ids/millis.ts';
import type {ProcessMemory} from './process-memory.ts';
import {RequestHold} from './request-hold.ts';

type GiveUp = (reason: 'stalled' | 'largest') => void;

/** What the body of one request holds of the bound that all bodies share, until the request has ended. */
export class BodyHold {
	readonly #memory: ProcessMemory;
	readonly #request: RequestHold | undefined;
	#giveUp: GiveUp | undefined;

	constructor(memory: ProcessMemory, req: IncomingMessage, res: ServerResponse) {
		this.#memory = memory;
		memory.bodies.add(this, req.socket.remoteAddress ?? '', performance.now() as Millis);
		this.#request = RequestHold.of(res);
		this.#request?.onGivenUp(() => {
			this.#giveUp?.('largest');
		});
		res.once('close', () => {
			memory.bodies.delete(this);
		});
	}

	/** Sets what is called once if the body has to be given up. */
	onGivenUp(giveUp: GiveUp): void {
		this.#giveUp = giveUp;
	}

	/** Records a chunk of the body; false if the memory that it takes is too much, and it must not be kept. */
	receive(bytes: number, costBytes: number): boolean {
		const now = performance.now() as Millis;
		const {bodies} = this.#memory;
		bodies.receive(this, bytes, now);
		if (costBytes === 0) {
			return true;
		}

		const {held, evicted} = bodies.grow(this, costBytes, now);
		for (const {holder, reason} of evicted) {
			this.#memory.turnedAway(`${reason}-body`);
			holder.#giveUp?.(reason);
		}

		return held;
	}

	/** Records that the client is turned away because of its body. */
	turnAway(kind: 'oversized-body' | 'slow-body' | 'no-room-for-body'): void {
		this.#memory.turnedAway(kind);
	}

	/** Records that the body was received whole and takes this much memory; false if the request must not begin. */
	complete(bytes: number): boolean {
		this.#memory.bodies.complete(this, bytes);
		return this.#request?.begin() ?? true;
	}

	/** Records that nothing of the body is kept. */
	release(): void {
		this.#memory.bodies.delete(this);
	}
}
