/** Moving average without an initial value: the first samples weigh more than `weight`. */
export class Mean {
	readonly #weight: number;
	#samples = 0;
	#value = 0;

	constructor(weight: number) {
		this.#weight = weight;
	}

	/** Undefined without samples. */
	get value(): number | undefined {
		return this.#samples === 0 ? undefined : this.#value;
	}

	add(sample: number): void {
		this.#samples += 1;
		this.#value += Math.max(this.#weight, 1 / this.#samples) * (sample - this.#value);
	}
}
