type MovingAverageOptions = {
	/** Weight of the newest sample. */
	readonly weight: number;
	readonly initial: number;
	readonly min: number;
	readonly max: number;
};

/** Exponentially weighted moving average; each sample is clamped to `min` and `max`. */
export class MovingAverage {
	readonly #options: MovingAverageOptions;
	#value: number;

	constructor(options: MovingAverageOptions) {
		this.#options = options;
		this.#value = options.initial;
	}

	get value(): number {
		return this.#value;
	}

	add(sample: number): void {
		const {weight, min, max} = this.#options;
		this.#value += weight * (Math.min(max, Math.max(min, sample)) - this.#value);
	}
}
