const eventDelayMs = 300;
/** One event in this many is dropped instead of published, so that the published sequence has gaps. */
const lostEventInterval = 7;

type CacheEvents = {
	readonly firstEvent: number;
	readonly stored: readonly string[];
	readonly removed: readonly string[];
};

/** LRU cache of prompt prefix blocks, limited in size; its events are published with a delay and with gaps. */
export class PrefixCache {
	readonly #maxBlocks: number;
	readonly #blocks = new Set<string>();
	#events: Array<{at: number; sequence: number; type: 'stored' | 'removed'; digest: string}> = [];
	#sequence = 0;

	constructor(maxBlocks: number) {
		this.#maxBlocks = maxBlocks;
	}

	/** Adds all blocks to the cache; returns how many leading blocks were cached before. */
	use(digests: readonly string[]): number {
		const firstMiss = digests.findIndex(digest => !this.#blocks.has(digest));
		const hits = firstMiss === -1 ? digests.length : firstMiss;
		for (const digest of digests) {
			this.#touch(digest);
		}

		this.#evict();
		return hits;
	}

	/** Removes and returns the events whose delay has passed; `now` is wall-clock milliseconds. */
	takeEvents(now: number): CacheEvents | undefined {
		const due = this.#events.filter(event => event.at + eventDelayMs <= now);
		if (due.length === 0) {
			return undefined;
		}

		this.#events = this.#events.filter(event => event.at + eventDelayMs > now);
		const kept = due.filter(event => event.sequence % lostEventInterval !== 0);
		return {
			firstEvent: due[0]!.sequence,
			stored: kept.filter(event => event.type === 'stored').map(event => event.digest),
			removed: kept.filter(event => event.type === 'removed').map(event => event.digest),
		};
	}

	#touch(digest: string): void {
		if (!this.#blocks.delete(digest)) {
			this.#emit('stored', digest);
		}

		this.#blocks.add(digest);
	}

	#evict(): void {
		for (const digest of this.#blocks) {
			if (this.#blocks.size <= this.#maxBlocks) {
				return;
			}

			this.#blocks.delete(digest);
			this.#emit('removed', digest);
		}
	}

	#emit(type: 'stored' | 'removed', digest: string): void {
		this.#sequence += 1;
		this.#events.push({
			at: Date.now(), sequence: this.#sequence, type, digest,
		});
	}
}
