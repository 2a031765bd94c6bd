/** Runs a limited number of tasks concurrently; further tasks wait in first-in, first-out order. */
export class ConcurrencyLimiter {
	readonly #waiting: Array<() => void> = [];
	#free: number;

	constructor(limit: number) {
		this.#free = limit;
	}

	async run<Value>(task: () => Promise<Value>): Promise<Value> {
		await this.#take();
		try {
			return await task();
		} finally {
			this.#release();
		}
	}

	async #take(): Promise<void> {
		if (this.#free > 0) {
			this.#free -= 1;
			return;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
		});
	}

	#release(): void {
		const next = this.#waiting.shift();
		if (next) {
			next();
			return;
		}

		this.#free += 1;
	}
}
