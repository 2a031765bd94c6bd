/** Number of priorities, 0 (most urgent) to 9. */
const priorityCount = 10;

/** Weight of the newest request in the exponential moving averages. */
const smoothing = 0.005;

/** Upper bound of a wait relative to the mean wait. */
const maxWaitFactor = 8;

/** Estimates the distribution of requests over priorities, and from it the wait of each priority relative to the mean wait. */
export class PriorityDistribution {
	readonly #shares: number[] = Array.from({length: priorityCount}, () => 1 / priorityCount);

	/** Records the priority of a request. */
	observe(priority: number): void {
		for (let index = 0; index < priorityCount; index++) {
			const hit = index === priority ? 1 : 0;
			this.#shares[index]! += smoothing * (hit - this.#shares[index]!);
		}
	}

	/**
	 * Wait of a priority in a priority queue relative to the wait in a FIFO queue: less urgent requests are not waited
	 * for, but more urgent ones keep overtaking.
	 */
	waitFactor(priority: number): number {
		let higherShare = 0;
		for (let index = 0; index < priority; index++) {
			higherShare += this.#shares[index]!;
		}

		const upTo = higherShare + (this.#shares[priority] ?? 0);
		return Math.min(maxWaitFactor, upTo / Math.max(1 / maxWaitFactor, 1 - higherShare));
	}
}
