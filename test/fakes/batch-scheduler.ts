import type {Sequence} from './sequence.ts';

type BatchSchedulerOptions = {
	/** Sequences that run at once. */
	readonly capacity: number;
	/** Time of one step with one sequence, in milliseconds. */
	readonly tokenMs: number;
	/** Share by which a step slows down from one sequence to a full batch. */
	readonly slowdown: number;
};

/** Continuous batching: one token for each running sequence in each step; free places go to the most urgent waiting one. */
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
