/** Largest number of prefix blocks kept for one target. */
const defaultMaxBlocks = 4096;

/**
 * Estimate of the prefix blocks in a target's KV cache; it may be wrong.
 * Built from this node's own requests and the target's cache events; bounded, least recently used blocks are evicted first.
 */
export class CachedBlockEstimate {
	readonly #blocks = new Set<string>();
	readonly #maxBlocks: number;
	#nextEvent: number | undefined;

	constructor(options: {maxBlocks?: number} = {}) {
		this.#maxBlocks = options.maxBlocks ?? defaultMaxBlocks;
	}

	/** Number of blocks kept. */
	get size(): number {
		return this.#blocks.size;
	}

	/** Number of leading blocks that are believed to be cached. */
	countLeading(prefixBlocks: readonly string[]): number {
		let count = 0;
		while (count < prefixBlocks.length && this.#blocks.has(prefixBlocks[count]!)) {
			count++;
		}

		return count;
	}

	/** Records that a request with these blocks was sent to the target. */
	recordUse(prefixBlocks: readonly string[]): void {
		for (const block of prefixBlocks) {
			this.#store(block);
		}
	}

	/** Applies the target's cache events; a gap in their numbers clears all blocks, since events were missed. */
	applyEvents(cache: {readonly firstEvent: number; readonly stored: readonly string[]; readonly removed: readonly string[]}): void {
		if (this.#nextEvent !== undefined && cache.firstEvent > this.#nextEvent) {
			this.#blocks.clear();
		}

		this.#nextEvent = Math.max(this.#nextEvent ?? 0, cache.firstEvent + cache.stored.length + cache.removed.length);
		for (const block of cache.stored) {
			this.#store(block);
		}

		for (const block of cache.removed) {
			this.#blocks.delete(block);
		}
	}

	/** Clears all blocks and the event number, as after a restart of the target. */
	clear(): void {
		this.#blocks.clear();
		this.#nextEvent = undefined;
	}

	#store(block: string): void {
		this.#blocks.delete(block);
		this.#blocks.add(block);
		if (this.#blocks.size > this.#maxBlocks) {
			const [oldest] = this.#blocks;
			this.#blocks.delete(oldest!);
		}
	}
}
