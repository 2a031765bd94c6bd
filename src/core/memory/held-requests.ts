type HeldRequestsOptions = {
	/** Memory that all requests together may take, in bytes. */
	readonly maxBytes: number;
	/** Requests that may have begun and be counted. */
	readonly maxCount: number;
};

type Request = {readonly address: string; bytes: number; isBegun: boolean; isCounted: boolean};

type Begin = {
	/** Memory that the request takes beyond what was known of it, in bytes. @default 0 */
	readonly bytes?: number;
	/** True if it counts towards the number of requests. @default false */
	readonly isCounted?: boolean;
};

/** Memory of a request beyond which it is large, in bytes: ordinary heads take less. */
const largeBytes = 32_768;
/** Part of the memory that large requests may take together with all others that have begun. */
const largeShare = 1 / 2;

/**
 * Counts the memory of requests with their heads, and decides which of them may begin.
 *
 * Load pattern: many clients, or one with many connections, send heads of a thousand lines and keep the requests in
 * progress, or keep back the last byte of a body. A request that has begun is never given up for another one, so large
 * ones may begin only while half of the memory is left to ordinary ones. Of those that have not begun the largest is
 * given up. Requests of one address may be as many as there is room for others.
 */
export class HeldRequests<Holder> {
	readonly #options: HeldRequestsOptions;
	readonly #requests = new Map<Holder, Request>();
	readonly #countByAddress = new Map<string, number>();
	#count = 0;
	#bytes = 0;
	#begunBytes = 0;

	constructor(options: HeldRequestsOptions) {
		this.#options = options;
	}

	/** Memory of all requests, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Takes a request that has not begun; returns those that have to be refused, which are counted no longer, and may include it. */
	add(holder: Holder, {address, bytes}: {readonly address: string; readonly bytes: number}): readonly Holder[] {
		this.#requests.set(holder, {
			address, bytes, isBegun: false, isCounted: false,
		});
		this.#bytes += bytes;
		return this.#evict();
	}

	/** Lets a request begin, or a request that has begun take more before anything runs; false, with no effect, if it has to be refused. One alone may exceed the memory. */
	begin(holder: Holder, {bytes = 0, isCounted = false}: Begin = {}): {readonly isAdmitted: boolean; readonly evicted: readonly Holder[]} {
		const request = this.#requests.get(holder);
		if (request === undefined || !this.#fits(request, request.bytes + bytes) || (isCounted && !this.#isCountable(request))) {
			return {isAdmitted: false, evicted: []};
		}

		this.#begunBytes += request.isBegun ? bytes : request.bytes + bytes;
		this.#bytes += bytes;
		request.bytes += bytes;
		request.isBegun = true;
		if (isCounted && !request.isCounted) {
			request.isCounted = true;
			this.#changeCount(request.address, 1);
		}

		return {isAdmitted: true, evicted: this.#evict()};
	}

	delete(holder: Holder): void {
		const request = this.#requests.get(holder);
		if (request === undefined) {
			return;
		}

		this.#requests.delete(holder);
		this.#bytes -= request.bytes;
		this.#begunBytes -= request.isBegun ? request.bytes : 0;
		if (request.isCounted) {
			this.#changeCount(request.address, -1);
		}
	}

	#fits({isBegun, bytes: before}: Request, bytes: number): boolean {
		const others = this.#begunBytes - (isBegun ? before : 0);
		const max = this.#options.maxBytes * (bytes > largeBytes ? largeShare : 1);
		return others === 0 || others + bytes <= max;
	}

	#isCountable({address, isCounted}: Request): boolean {
		const left = this.#options.maxCount - this.#count;
		return isCounted || (left > 0 && (this.#countByAddress.get(address) ?? 0) < left);
	}

	#changeCount(address: string, by: number): void {
		this.#count += by;
		const ofAddress = (this.#countByAddress.get(address) ?? 0) + by;
		if (ofAddress > 0) {
			this.#countByAddress.set(address, ofAddress);
		} else {
			this.#countByAddress.delete(address);
		}
	}

	/** Gives up requests that have not begun, the largest first, until the others fit; one alone always does. */
	#evict(): readonly Holder[] {
		if (this.#bytes <= this.#options.maxBytes || this.#requests.size === 1) {
			return [];
		}

		const evicted: Holder[] = [];
		const waiting = [...this.#requests].filter(([, {isBegun}]) => !isBegun).toSorted(([, left], [, right]) => right.bytes - left.bytes);
		for (const [holder] of waiting) {
			if (this.#bytes <= this.#options.maxBytes) {
				break;
			}

			this.delete(holder);
			evicted.push(holder);
		}

		return evicted;
	}
}
