import type {Millis} from '../ids/millis.ts';

type HeldBodiesOptions = {
	/** Size that all bodies together may have, in bytes. */
	readonly maxBytes: number;
	/** Time within which a body that is being received has to grow by `floorBytes`, in milliseconds; matters near the bound only. @default 5000 */
	readonly stallMs?: number;
	/** @default 1024 */
	readonly floorBytes?: number;
};

type Body = {
	readonly address: string;
	bytes: number;
	receivedBytes: number;
	/** `receivedBytes` at the last time at which the body had grown by the floor. */
	markedBytes: number;
	markedAt: Millis;
	/** True once the body was received: its request may run and is not given up any more. */
	whole: boolean;
};

/** `stalled`: hardly any bytes came of late; `largest`: it had the most bytes of the address with the most. */
type Eviction<Holder> = {readonly holder: Holder; readonly reason: 'stalled' | 'largest'};

/** Part of the bound down to which bodies are given up, so that not each chunk at the bound searches all bodies. */
const relief = 15 / 16;
const defaultStallMs = 5000;
const defaultFloorBytes = 1024;

/**
 * Counts the memory of the bodies of requests, and decides which of them are given up when it is too much.
 *
 * Load pattern: many callers send bodies that stop short of their end and keep their connections open, beside ordinary
 * callers, whose bodies are small or arrive without a pause. Stalled bodies are given up first; then the largest, of the
 * address that holds most; the body that asks for more than there is comes last.
 */
export class HeldBodies<Holder> {
	readonly #maxBytes: number;
	readonly #stallMs: number;
	readonly #floorBytes: number;
	readonly #bodies = new Map<Holder, Body>();
	readonly #bytesByAddress = new Map<string, number>();
	#bytes = 0;

	constructor({maxBytes, stallMs = defaultStallMs, floorBytes = defaultFloorBytes}: HeldBodiesOptions) {
		this.#maxBytes = maxBytes;
		this.#stallMs = stallMs;
		this.#floorBytes = floorBytes;
	}

	/** Size of all bodies together, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Starts to count a body. */
	add(holder: Holder, address: string, now: Millis): void {
		this.#bodies.set(holder, {
			address, bytes: 0, receivedBytes: 0, markedBytes: 0, markedAt: now, whole: false,
		});
	}

	/** Records bytes of a body that have arrived, whatever memory they take. */
	receive(holder: Holder, bytes: number, now: Millis): void {
		const body = this.#bodies.get(holder);
		if (body === undefined) {
			return;
		}

		body.receivedBytes += bytes;
		if (body.receivedBytes - body.markedBytes >= this.#floorBytes) {
			body.markedBytes = body.receivedBytes;
			body.markedAt = now;
		}
	}

	/**
	 * Adds to the memory that a body takes. Bodies that have to be given up for it are returned and counted no longer;
	 * if the body itself is not among them and still doesn't fit, `held` is false and the addition has no effect. One
	 * body alone may exceed the bound.
	 */
	grow(holder: Holder, bytes: number, now: Millis): {readonly held: boolean; readonly evicted: ReadonlyArray<Eviction<Holder>>} {
		const body = this.#bodies.get(holder);
		if (body === undefined) {
			return {held: false, evicted: []};
		}

		const evicted = this.#bytes + bytes > this.#maxBytes && this.#bytes > body.bytes ? this.#evict(holder, bytes, now) : [];
		const isLast = this.#bytes === body.bytes;
		if (!this.#bodies.has(holder) || (this.#bytes + bytes > this.#maxBytes && !isLast)) {
			return {held: false, evicted};
		}

		this.#change(body, bytes);
		return {held: true, evicted};
	}

	/** Records that a body is whole, and the memory that it takes from now on. */
	complete(holder: Holder, bytes: number): void {
		const body = this.#bodies.get(holder);
		if (body !== undefined) {
			body.whole = true;
			this.#change(body, bytes - body.bytes);
		}
	}

	delete(holder: Holder): void {
		const body = this.#bodies.get(holder);
		if (body !== undefined) {
			this.#change(body, -body.bytes);
			this.#bodies.delete(holder);
		}
	}

	#change(body: Body, bytes: number): void {
		this.#bytes += bytes;
		body.bytes += bytes;
		const ofAddress = (this.#bytesByAddress.get(body.address) ?? 0) + bytes;
		if (ofAddress > 0) {
			this.#bytesByAddress.set(body.address, ofAddress);
		} else {
			this.#bytesByAddress.delete(body.address);
		}
	}

	/** Gives up bodies until `bytes` more fit. The body of `grower` is given up only as the largest. */
	#evict(grower: Holder, bytes: number, now: Millis): ReadonlyArray<Eviction<Holder>> {
		const evicted: Array<Eviction<Holder>> = [];
		const isExcessive = () => this.#bytes + bytes > relief * this.#maxBytes;
		const receiving = [...this.#bodies].filter(([, {whole, bytes: held}]) => !whole && held > 0);
		const bySize = receiving.toSorted(([, left], [, right]) => right.bytes - left.bytes);
		for (const [holder, body] of bySize) {
			if (isExcessive() && holder !== grower && now - body.markedAt >= this.#stallMs) {
				this.delete(holder);
				evicted.push({holder, reason: 'stalled'});
			}
		}

		while (this.#bytes + bytes > this.#maxBytes) {
			const largest = this.#largest(bySize);
			if (largest === undefined) {
				break;
			}

			this.delete(largest);
			evicted.push({holder: largest, reason: 'largest'});
			if (largest === grower) {
				break;
			}
		}

		return evicted;
	}

	/** Largest body of the address that holds most, of those that are still received. */
	#largest(bySize: ReadonlyArray<readonly [Holder, Body]>): Holder | undefined {
		let found: {holder: Holder; ofAddress: number} | undefined;
		for (const [holder, {address}] of bySize) {
			const ofAddress = this.#bytesByAddress.get(address) ?? 0;
			if (this.#bodies.has(holder) && ofAddress > (found?.ofAddress ?? 0)) {
				found = {holder, ofAddress};
			}
		}

		return found?.holder;
	}
}
