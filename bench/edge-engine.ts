import type {EventQueue} from '../test/fixtures/event-queue.ts';
import type {Prompt} from '../src/core/edge/prompt.ts';
import type {TargetLoad} from '../src/core/edge/target-load.ts';

type Job = {
	readonly prompt: Prompt;
	/** Jobs with a lower value run first. */
	readonly urgency: number;
	readonly order: number;
	prefillTokensLeft: number;
	/** Output tokens still to produce. */
	output: number;
	/** Tokens produced since the last event. */
	tokensInEvent: number;
	readonly onEvent: (load: TargetLoad, last: boolean) => void;
};

/**
 * Speed and limits of an engine in the users' deployments at their largest size, as the users state them. One iteration
 * takes `stepMs`, plus `stepMsPerSlot` for each running request, plus the time of its prefill.
 */
const stepMs = 3.09;
const stepMsPerSlot = 0.102;
const prefillTokensPerMs = 56.9;
const prefillChunkTokens = 2048;
const tokensPerEvent = 9;
const slots = 64;
const cacheTokens = 467_114;

/** Simulates an engine with continuous batching, chunked prefill (the most urgent request first) and a prefix cache of shared prompt parts. */
export class EdgeEngine {
	prefilledTokens = 0;
	/** Tokens of shared parts computed here although some engine had computed them before. */
	recomputedTokens = 0;
	readonly #queue: EventQueue;
	readonly #speed: number;
	/** Parts that any engine has computed; one set for all engines. */
	readonly #computedParts: Set<string>;
	readonly #cachedParts = new Map<string, number>();
	#cachedTokens = 0;
	#jobs: Job[] = [];
	#order = 0;
	#stepping = false;

	constructor({queue, speed, computedParts}: {queue: EventQueue; speed: number; computedParts: Set<string>}) {
		this.#queue = queue;
		this.#speed = speed;
		this.#computedParts = computedParts;
	}

	/** Returns a function that aborts the job. */
	submit({prompt, urgency, onEvent}: Pick<Job, 'prompt' | 'urgency' | 'onEvent'>): () => void {
		this.#order += 1;
		const prefillTokens = this.#cachePrompt(prompt);
		this.prefilledTokens += prefillTokens;
		const job = {
			prompt, urgency, order: this.#order, prefillTokensLeft: prefillTokens, output: prompt.outputTokens, tokensInEvent: 0, onEvent,
		};
		this.#jobs.push(job);
		this.#jobs.sort((a, b) => a.urgency - b.urgency || a.order - b.order);
		if (!this.#stepping) {
			this.#stepping = true;
			this.#step();
		}

		return () => {
			this.#jobs = this.#jobs.filter(other => other !== job);
		};
	}

	#step(): void {
		const running = this.#jobs.slice(0, slots);
		if (running.length === 0) {
			this.#stepping = false;
			return;
		}

		let chunkTokensLeft = prefillChunkTokens;
		const decoding = running.filter(({prefillTokensLeft}) => prefillTokensLeft === 0);
		for (const job of running) {
			const prefilled = Math.min(job.prefillTokensLeft, chunkTokensLeft);
			chunkTokensLeft -= prefilled;
			job.prefillTokensLeft -= prefilled;
		}

		const ms = (stepMs + (stepMsPerSlot * running.length) + ((prefillChunkTokens - chunkTokensLeft) / prefillTokensPerMs)) / this.#speed;
		this.#queue.scheduleAfter(ms, () => {
			for (const job of decoding.filter(job => this.#jobs.includes(job))) {
				this.#decode(job);
			}

			this.#step();
		});
	}

	#decode(job: Job): void {
		job.output -= 1;
		job.tokensInEvent += 1;
		const last = job.output <= 0;
		if (job.tokensInEvent < tokensPerEvent && !last) {
			return;
		}

		job.tokensInEvent = 0;
		if (last) {
			this.#jobs = this.#jobs.filter(other => other !== job);
		}

		job.onEvent({running: Math.min(slots, this.#jobs.length), waiting: Math.max(0, this.#jobs.length - slots), slots}, last);
	}

	/** Caches the shared parts of a prompt and evicts the least recently used ones; returns the tokens that need prefill, at least 1. */
	#cachePrompt({parts, promptTokens}: Prompt): number {
		let uncachedTokens = promptTokens;
		for (const {id, tokens} of parts.slice(0, -1)) {
			if (this.#cachedParts.delete(id)) {
				uncachedTokens -= tokens;
			} else {
				this.#cachedTokens += tokens;
				this.recomputedTokens += this.#computedParts.has(id) ? tokens : 0;
			}

			this.#cachedParts.set(id, tokens);
			this.#computedParts.add(id);
		}

		for (const [id, tokens] of this.#cachedParts) {
			if (this.#cachedTokens <= cacheTokens) {
				break;
			}

			this.#cachedParts.delete(id);
			this.#cachedTokens -= tokens;
		}

		return Math.max(1, uncachedTokens);
	}
}
