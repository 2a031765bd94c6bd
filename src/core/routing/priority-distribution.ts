/** Priorities that a request may have: 0 to 9. */
const priorityCount = 10;

/** Weight of the newest request in the shares. */
const smoothing = 0.005;

/** Largest factor by which a wait is taken to be longer than the mean. */
const maxWaitFactor = 8;

/** Learns how requests are spread over the priorities, and how much longer or shorter than the mean each one waits. */
export class PriorityDistribution {
	readonly #shares: number[] = Array.from({length: priorityCount}, () => 1 / priorityCount);

	/** Notes a request. */
	observe(priority: number): void {
		for (let index = 0; index < priorityCount; index++) {
			const hit = index === priority ? 1 : 0;
			this.#shares[index]! += smoothing * (hit - this.#shares[index]!);
		}
	}

	/** Wait in a queue by priority relative to one in order of arrival: those behind do not count, those before keep coming. */
	waitFactor(priority: number): number {
		let higherShare = 0;
		for (let index = 0; index < priority; index++) {
			higherShare += this.#shares[index]!;
		}

		const upTo = higherShare + (this.#shares[priority] ?? 0);
		return Math.min(maxWaitFactor, upTo / Math.max(1 / maxWaitFactor, 1 - higherShare));
	}
}
