import type {RequestInfo} from '../src/core/settings/request-info.ts';

/** Prompt blocks kept at most. */
const cacheBlocks = 1500;

/** Prompt tokens computed in one iteration at most. */
const prefillChunk = 512;

/** Time of one prompt token relative to that of one output token alone. */
const prefillShare = 0.02;

/** How much longer an iteration with a full batch takes than one with a single request. */
const batchSlowdown = 0.7;

/** Iterations without prefill are taken together up to this time, in milliseconds. */
const quantumMs = 20;

/** Cache events kept for the next announcement at most; more make a gap. */
const mostEvents = 400;

/** A request inside an engine. */
type Job = {
	readonly req: RequestInfo;
	readonly outputTokens: number;
	readonly done: (event: 'first' | 'whole' | 'failed') => void;
	prefillLeft: number;
	tokensLeft: number;
};

/** Model of an engine: continuous batching with chunked prefill, a prefix cache of limited size, a queue by priority. */
export class PolicyEngine {
	/** Busy time in milliseconds. */
	busyMs = 0;
	/** Prompt tokens computed though some engine computed them before. */
	recomputedTokens = 0;
	/** Output tokens of whole answers. */
	outputTokens = 0;
	slowness = 1;
	up = true;
	incarnation = 1;
	capacity: number;
	readonly #tokenMs: number;
	readonly #schedule: (delayMs: number, run: () => void) => void;
	readonly #computed: Set<string>;
	#queue: Job[] = [];
	#running: Job[] = [];
	#stepping = false;
	readonly #cache = new Set<string>();
	#stored: string[] = [];
	#removed: string[] = [];
	#events = 0;

	constructor(options: {tokenMs: number; capacity: number; schedule: (delayMs: number, run: () => void) => void; computed: Set<string>}) {
		this.#tokenMs = options.tokenMs;
		this.capacity = options.capacity;
		this.#schedule = options.schedule;
		this.#computed = options.computed;
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
			req, outputTokens, done, prefillLeft: 0, tokensLeft: outputTokens,
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
		this.#stored = [];
		this.#removed = [];
		this.incarnation += 1;
		for (const job of jobs) {
			job.done('failed');
		}
	}

	/** Cache events since the last call. */
	takeEvents(): {firstEvent: number; stored: readonly string[]; removed: readonly string[]} {
		const stored = this.#stored.slice(0, mostEvents);
		const removed = this.#removed.slice(0, mostEvents);
		const firstEvent = this.#events;
		this.#events += this.#stored.length + this.#removed.length;
		this.#stored = [];
		this.#removed = [];
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
		const decoding = this.#running.filter(job => job.prefillLeft === 0);
		const iterationMs = this.#tokenMs * this.slowness * (1 + (batchSlowdown * decoding.length / this.capacity));
		const tokens = prefilled > 0 ? 1 : Math.max(1, Math.min(Math.floor(quantumMs / iterationMs), ...decoding.map(job => job.tokensLeft)));
		const durationMs = (iterationMs * tokens) + (prefilled * prefillShare * this.#tokenMs * this.slowness);
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
		const first = prefixBlocks.findIndex(block => !this.#cache.has(block));
		const hits = first === -1 ? prefixBlocks.length : first;
		job.prefillLeft = Math.max(1, promptTokens - (hits * prefixBlockTokens));
		for (const [index, block] of prefixBlocks.entries()) {
			if (index >= hits && this.#computed.has(block)) {
				this.recomputedTokens += prefixBlockTokens;
			}

			this.#computed.add(block);
			this.#store(block);
		}

		return job;
	}

	/** Computes one chunk of prompts, the oldest request first. */
	#prefill(): number {
		let left = prefillChunk;
		for (const job of this.#running) {
			const part = Math.min(left, job.prefillLeft);
			job.prefillLeft -= part;
			left -= part;
		}

		return prefillChunk - left;
	}

	#produce(decoding: readonly Job[], tokens: number): void {
		for (const job of decoding) {
			if (job.tokensLeft === job.outputTokens) {
				job.done('first');
			}

			job.tokensLeft -= tokens;
			if (job.tokensLeft <= 0) {
				this.#running.splice(this.#running.indexOf(job), 1);
				this.outputTokens += job.outputTokens;
				job.done('whole');
			}
		}
	}

	#store(block: string): void {
		if (!this.#cache.delete(block)) {
			this.#stored.push(block);
		}

		this.#cache.add(block);
		if (this.#cache.size > cacheBlocks) {
			const [oldest] = this.#cache;
			this.#cache.delete(oldest!);
			this.#removed.push(oldest!);
		}
	}
}
