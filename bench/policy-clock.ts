/** Simulated clock, in milliseconds: a priority queue that runs callbacks in order of time, then of scheduling. */
export class PolicyClock {
	now = 0;
	readonly #heap: Array<{at: number; order: number; run: () => void}> = [];
	#order = 0;

	/** Schedules a callback after a delay in milliseconds. */
	scheduleAfter(delayMs: number, run: () => void): void {
		this.#order += 1;
		const item = {at: this.now + delayMs, order: this.#order, run};
		this.#heap.push(item);
		let index = this.#heap.length - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (!this.#before(index, parent)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	/** Runs all callbacks up to and including `end` and advances the clock to it. */
	runUntil(end: number): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
			const item = this.#pop();
			this.now = item.at;
			item.run();
		}

		this.now = end;
	}

	#pop() {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftDown(): void {
		let index = 0;
		for (;;) {
			let least = index;
			for (const child of [(2 * index) + 1, (2 * index) + 2]) {
				if (child < this.#heap.length && this.#before(child, least)) {
					least = child;
				}
			}

			if (least === index) {
				return;
			}

			this.#swap(index, least);
			index = least;
		}
	}

	#before(a: number, b: number): boolean {
		const [first, second] = [this.#heap[a]!, this.#heap[b]!];
		return first.at < second.at || (first.at === second.at && first.order < second.order);
	}

	#swap(a: number, b: number): void {
		[this.#heap[a], this.#heap[b]] = [this.#heap[b]!, this.#heap[a]!];
	}
}
