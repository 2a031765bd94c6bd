import type {RequestInfo} from '../src/core/settings/request-info.ts';

/** Prompt blocks kept at most. */
const maxCachedBlocks = 1500;

/** Prompt tokens computed in one iteration at most. */
const prefillChunkTokens = 512;

/** Time of one prompt token relative to that of one output token alone. */
const prefillTokenCost = 0.02;

/** How much longer an iteration with a full batch takes than one with a single request. */
const batchSlowdown = 0.7;

/** Iterations without prefill are taken together up to this time, in milliseconds. */
const maxDecodeStepMs = 20;

/** Cache events kept for the next announcement at most; more make a gap. */
const maxCacheEvents = 400;

/** A request inside an engine. */
type Job = {
	readonly req: RequestInfo;
	readonly outputTokens: number;
	readonly done: (event: 'first' | 'whole' | 'failed') => void;
	prefillTokensLeft: number;
	outputTokensLeft: number;
};

/** Model of an engine: continuous batching with chunked prefill, a prefix cache of limited size, a queue by priority. */
export class PolicyEngine {
	/** Busy time in milliseconds. */
	busyMs = 0;
	/** Prompt tokens computed though some engine computed them before. */
	recomputedTokens = 0;
	/** Output tokens of whole answers. */
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

	constructor(options: {tokenMs: number; capacity: number; schedule: (delayMs: number, run: () => void) => void; computed: Set<string>}) {
		this.#tokenMs = options.tokenMs;
		this.capacity = options.capacity;
		this.#schedule = options.schedule;
		this.#computedBlocks = options.computed;
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

	/** Fails everything in flight and forgets the cache. */
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

	/** Cache events since the last call. */
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

	/** Computes one chunk of prompts, the oldest request first. */
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
