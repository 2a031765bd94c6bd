import type {EventQueue} from '../test/fixtures/event-queue.ts';
import type {Prompt} from '../src/core/edge/prompt.ts';
import type {TargetLoad} from '../src/core/edge/target-load.ts';

type Job = {
	readonly prompt: Prompt;
	readonly urgency: number;
	readonly order: number;
	unread: number;
	output: number;
	inEvent: number;
	readonly onEvent: (load: TargetLoad, last: boolean) => void;
};

/** Costs of an engine of the users' grown deployments, as their pages give them. */
const stepMs = 3.09;
const stepMsPerSlot = 0.102;
const readPerMs = 56.9;
const chunkTokens = 2048;
const tokensPerEvent = 9;
const slots = 64;
const cacheTokens = 467_114;

/** A simulated engine: reads prompts in chunks, the most urgent first, between the steps of its running batch; keeps shared parts. */
export class EdgeEngine {
	readTokens = 0;
	/** Tokens of shared parts that were read though some engine had them. */
	rereadTokens = 0;
	readonly #queue: EventQueue;
	readonly #speed: number;
	/** Parts that any engine has read: shared by all engines. */
	readonly #everRead: Set<string>;
	readonly #kept = new Map<string, number>();
	#keptTokens = 0;
	#jobs: Job[] = [];
	#order = 0;
	#stepping = false;

	constructor({queue, speed, everRead}: {queue: EventQueue; speed: number; everRead: Set<string>}) {
		this.#queue = queue;
		this.#speed = speed;
		this.#everRead = everRead;
	}

	run({prompt, urgency, onEvent}: Pick<Job, 'prompt' | 'urgency' | 'onEvent'>): void {
		this.#order += 1;
		const unread = this.#unkept(prompt);
		this.readTokens += unread;
		this.#jobs.push({
			prompt, urgency, order: this.#order, unread, output: prompt.outputTokens, inEvent: 0, onEvent,
		});
		this.#jobs.sort((a, b) => a.urgency - b.urgency || a.order - b.order);
		if (!this.#stepping) {
			this.#stepping = true;
			this.#step();
		}
	}

	#step(): void {
		const running = this.#jobs.slice(0, slots);
		if (running.length === 0) {
			this.#stepping = false;
			return;
		}

		let budget = chunkTokens;
		const decoding = running.filter(({unread}) => unread === 0);
		for (const job of running) {
			const read = Math.min(job.unread, budget);
			budget -= read;
			job.unread -= read;
		}

		const ms = (stepMs + (stepMsPerSlot * running.length) + ((chunkTokens - budget) / readPerMs)) / this.#speed;
		this.#queue.scheduleAfter(ms, () => {
			for (const job of decoding) {
				this.#decode(job);
			}

			this.#step();
		});
	}

	#decode(job: Job): void {
		job.output -= 1;
		job.inEvent += 1;
		const last = job.output <= 0;
		if (job.inEvent < tokensPerEvent && !last) {
			return;
		}

		job.inEvent = 0;
		if (last) {
			this.#jobs = this.#jobs.filter(other => other !== job);
		}

		job.onEvent({running: Math.min(slots, this.#jobs.length), waiting: Math.max(0, this.#jobs.length - slots), slots}, last);
	}

	/** Tokens of a prompt that must be read here; its shared parts are kept from now on. */
	#unkept({parts, promptTokens}: Prompt): number {
		let unread = promptTokens;
		for (const {id, tokens} of parts.slice(0, -1)) {
			if (this.#kept.delete(id)) {
				unread -= tokens;
			} else {
				this.#keptTokens += tokens;
				this.rereadTokens += this.#everRead.has(id) ? tokens : 0;
			}

			this.#kept.set(id, tokens);
			this.#everRead.add(id);
		}

		for (const [id, tokens] of this.#kept) {
			if (this.#keptTokens <= cacheTokens) {
				break;
			}

			this.#kept.delete(id);
			this.#keptTokens -= tokens;
		}

		return Math.max(1, unread);
	}
}
