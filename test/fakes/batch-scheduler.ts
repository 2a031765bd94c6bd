import type {Sequence} from './sequence.ts';

type BatchSchedulerOptions = {
	/** Maximum number of sequences in the batch. */
	readonly capacity: number;
	/** Duration of one step with a single sequence, in milliseconds. */
	readonly tokenMs: number;
	/** Relative increase of a step's duration from a batch of one to a full batch, such as 0.5 for half as long again. */
	readonly slowdown: number;
};

/** Continuous batching: each step produces one token per running sequence; free slots go to the waiting sequence with the lowest `priority` value. */
export class BatchScheduler {
	readonly #options: BatchSchedulerOptions;
	readonly #running = new Set<Sequence>();
	#waiting: Sequence[] = [];
	#stepping = false;

	constructor(options: BatchSchedulerOptions) {
		this.#options = options;
	}

	get running(): number {
		return this.#running.size;
	}

	get queued(): number {
		return this.#waiting.length;
	}

	add(sequence: Sequence): void {
		this.#waiting.push(sequence);
		this.#waiting.sort((a, b) => a.priority - b.priority);
		this.#schedule();
	}

	cancel(sequence: Sequence): void {
		this.#running.delete(sequence);
		this.#waiting = this.#waiting.filter(other => other !== sequence);
	}

	#schedule(): void {
		this.#admit();
		if (this.#stepping || this.#running.size === 0) {
			return;
		}

		this.#stepping = true;
		setTimeout(() => {
			this.#stepping = false;
			this.#step();
			this.#schedule();
		}, this.#stepMs());
	}

	#stepMs(): number {
		const {tokenMs, slowdown, capacity} = this.#options;
		return tokenMs * (1 + (slowdown * (this.#running.size - 1) / capacity));
	}

	#admit(): void {
		while (this.#running.size < this.#options.capacity) {
			const next = this.#waiting.shift();
			if (!next) {
				return;
			}

			next.begin(Date.now());
			this.#running.add(next);
		}
	}

	#step(): void {
		const now = Date.now();
		for (const sequence of this.#running) {
			if (sequence.readyAt <= now && sequence.emit()) {
				this.#running.delete(sequence);
			}
		}
	}
}
