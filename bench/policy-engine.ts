import type {RequestInfo} from '../src/core/settings/request-info.ts';

/** Size of the prefix cache, in prompt blocks. */
const maxCachedBlocks = 1500;

/** Maximum number of prompt tokens computed in one iteration. */
const prefillChunkTokens = 512;

/** Time of one prompt token relative to one output token in a batch of one. */
const prefillTokenCost = 0.02;

/** Additional time of an iteration with a full batch relative to a batch of one. */
const batchSlowdown = 0.7;

/** Iterations without prefill are simulated in one step up to this time, in milliseconds. */
const maxDecodeStepMs = 20;

/** Maximum number of stored and of removed blocks in one announcement; the excess is dropped and leaves a gap in the event numbers. */
const maxCacheEvents = 400;

/** A request that is queued or running in an engine. */
type Job = {
	readonly req: RequestInfo;
	readonly outputTokens: number;
	readonly done: (event: 'first' | 'whole' | 'failed') => void;
	prefillTokensLeft: number;
	outputTokensLeft: number;
};

/** Simulates an engine: continuous batching with chunked prefill, a bounded prefix cache and a priority queue. */
export class PolicyEngine {
	/** Total busy time, in milliseconds. */
	busyMs = 0;
	/** Prompt tokens computed here although some engine had computed them before. */
	recomputedTokens = 0;
	/** Output tokens of complete answers. */
	outputTokens = 0;
	slowdownFactor = 1;
	up = true;
	incarnation = 1;
	capacity: number;
	readonly #tokenMs: number;
	readonly #schedule: (delayMs: number, run: () => void) => void;
	readonly #computedBlocks: Set<string>;
	#queue: Job[] = [];
	#running: Job[] = [];
	#stepping = false;
	readonly #cache = new Set<string>();
	#storedBlocks: string[] = [];
	#removedBlocks: string[] = [];
	#eventCount = 0;

	constructor(options: {tokenMs: number; capacity: number; schedule: (delayMs: number, run: () => void) => void; computedBlocks: Set<string>}) {
		this.#tokenMs = options.tokenMs;
		this.capacity = options.capacity;
		this.#schedule = options.schedule;
		this.#computedBlocks = options.computedBlocks;
	}

	get load(): {running: number; queued: number} {
		return {running: this.#running.length, queued: this.#queue.length};
	}

	submit(req: RequestInfo, outputTokens: number, done: Job['done']): void {
		if (!this.up) {
			done('failed');
			return;
		}

		const job = {
			req, outputTokens, done, prefillTokensLeft: 0, outputTokensLeft: outputTokens,
		};
		const index = this.#queue.findIndex(other => other.req.priority > req.priority);
		this.#queue.splice(index === -1 ? this.#queue.length : index, 0, job);
		this.#step();
	}

	/** Fails all queued and running requests and clears the cache. */
	crash(): void {
		const jobs = [...this.#running, ...this.#queue];
		this.up = false;
		this.#running = [];
		this.#queue = [];
		this.#cache.clear();
		this.#storedBlocks = [];
		this.#removedBlocks = [];
		this.incarnation += 1;
		for (const job of jobs) {
			job.done('failed');
		}
	}

	/** Returns and clears the cache events since the last call. */
	takeEvents(): {firstEvent: number; stored: readonly string[]; removed: readonly string[]} {
		const stored = this.#storedBlocks.slice(0, maxCacheEvents);
		const removed = this.#removedBlocks.slice(0, maxCacheEvents);
		const firstEvent = this.#eventCount;
		this.#eventCount += this.#storedBlocks.length + this.#removedBlocks.length;
		this.#storedBlocks = [];
		this.#removedBlocks = [];
		return {firstEvent, stored, removed};
	}

	#step(): void {
		if (this.#stepping) {
			return;
		}

		while (this.#running.length < this.capacity && this.#queue.length > 0) {
			this.#running.push(this.#admit(this.#queue.shift()!));
		}

		if (this.#running.length === 0) {
			return;
		}

		const {incarnation} = this;
		const prefilled = this.#prefill();
		const decoding = this.#running.filter(job => job.prefillTokensLeft === 0);
		const iterationMs = this.#tokenMs * this.slowdownFactor * (1 + (batchSlowdown * decoding.length / this.capacity));
		const tokens = prefilled > 0 ? 1 : Math.max(1, Math.min(Math.floor(maxDecodeStepMs / iterationMs), ...decoding.map(job => job.outputTokensLeft)));
		const durationMs = (iterationMs * tokens) + (prefilled * prefillTokenCost * this.#tokenMs * this.slowdownFactor);
		this.busyMs += durationMs;
		this.#stepping = true;
		this.#schedule(durationMs, () => {
			this.#stepping = false;
			if (incarnation === this.incarnation) {
				this.#produce(decoding, tokens);
			}

			this.#step();
		});
	}

	#admit(job: Job): Job {
		const {prefixBlocks, prefixBlockTokens, promptTokens} = job.req;
		const firstMiss = prefixBlocks.findIndex(block => !this.#cache.has(block));
		const hits = firstMiss === -1 ? prefixBlocks.length : firstMiss;
		job.prefillTokensLeft = Math.max(1, promptTokens - (hits * prefixBlockTokens));
		for (const [index, block] of prefixBlocks.entries()) {
			if (index >= hits && this.#computedBlocks.has(block)) {
				this.recomputedTokens += prefixBlockTokens;
			}

			this.#computedBlocks.add(block);
			this.#cacheBlock(block);
		}

		return job;
	}

	/** Computes one chunk of prompt tokens in order of admission; returns the number of tokens. */
	#prefill(): number {
		let chunkTokensLeft = prefillChunkTokens;
		for (const job of this.#running) {
			const tokens = Math.min(chunkTokensLeft, job.prefillTokensLeft);
			job.prefillTokensLeft -= tokens;
			chunkTokensLeft -= tokens;
		}

		return prefillChunkTokens - chunkTokensLeft;
	}

	#produce(decoding: readonly Job[], tokens: number): void {
		for (const job of decoding) {
			if (job.outputTokensLeft === job.outputTokens) {
				job.done('first');
			}

			job.outputTokensLeft -= tokens;
			if (job.outputTokensLeft <= 0) {
				this.#running.splice(this.#running.indexOf(job), 1);
				this.outputTokens += job.outputTokens;
				job.done('whole');
			}
		}
	}

	#cacheBlock(block: string): void {
		if (!this.#cache.delete(block)) {
			this.#storedBlocks.push(block);
		}

		this.#cache.add(block);
		if (this.#cache.size > maxCachedBlocks) {
			const [oldest] = this.#cache;
			this.#cache.delete(oldest!);
			this.#removedBlocks.push(oldest!);
		}
	}
}
