/** Largest ratio, in either direction, of a sample to the estimate; the rest of an outlier is ignored. */
const maxRatio = 8;
/** Weight of the newest error of either estimate in its mean. */
const errorWeight = 0.05;
/** Number of samples that the prior counts for. */
const priorSamples = 3;

type LearnedTimeOptions = {
	/** Weight of a new sample; the first samples weigh more. */
	readonly weight: number;
	/** Estimate at a slowdown before there are samples, for example over all targets of the service. */
	readonly prior?: (slowdown: number) => number | undefined;
	/** Factor of the prior, below 1 so that a target without samples is tried while others are idle too. @default 1 */
	readonly priorFactor?: number;
};

/** Geometric moving average of a duration; its first sample replaces the prior. */
class LogarithmicMean {
	error = 0;
	samples = 0;
	#value = 0;

	get logarithm(): number {
		return this.#value;
	}

	add(logarithm: number, weight: number): void {
		const limit = this.samples === 0 ? Number.POSITIVE_INFINITY : Math.log(maxRatio);
		const difference = Math.min(limit, Math.max(-limit, logarithm - this.#value));
		this.error += this.samples === 0 ? 0 : errorWeight * (Math.abs(difference) - this.error);
		this.samples += 1;
		this.#value += Math.max(weight, 1 / this.samples) * difference;
	}
}

/**
 * Learns how long a unit of work takes at a target, given how slow its VM is.
 *
 * Engines have unequal speeds, and deployments differ by more than an order of magnitude, so there is no initial
 * constant: the prior comes from other targets. The figure of the VM's slowdown may be wrong; a second estimate ignores
 * it, and whichever had the smaller error lately is used.
 */
export class LearnedTime {
	readonly #options: LearnedTimeOptions;
	/** Time at normal speed of the VM. */
	readonly #normal = new LogarithmicMean();
	/** Time without regard to the speed of the VM. */
	readonly #plain = new LogarithmicMean();

	constructor(options: LearnedTimeOptions) {
		this.#options = options;
	}

	get samples(): number {
		return this.#plain.samples;
	}

	/** True if predictions follow the slowdown that the target reports. */
	get usesSlowdown(): boolean {
		return this.#normal.error <= this.#plain.error;
	}

	/** Adds the time that a unit of work took while the VM had the given slowdown. */
	add(time: number, slowdown: number): void {
		const logarithm = Math.log(Math.max(Number.MIN_VALUE, time));
		const {weight} = this.#options;
		this.#normal.add(logarithm - Math.log(slowdown), weight);
		this.#plain.add(logarithm, weight);
	}

	/** Predicted time at a slowdown; undefined without samples and prior. */
	at(slowdown: number): number | undefined {
		const {prior: priorAt, priorFactor = 1} = this.#options;
		const assumed = priorAt?.(slowdown);
		const prior = assumed === undefined ? undefined : assumed * priorFactor;
		if (this.samples === 0) {
			return prior;
		}

		const own = this.usesSlowdown ? this.#normal.logarithm + Math.log(slowdown) : this.#plain.logarithm;
		if (prior === undefined) {
			return Math.exp(own);
		}

		const ownShare = this.samples / (this.samples + priorSamples);
		return Math.exp((ownShare * own) + ((1 - ownShare) * Math.log(prior)));
	}
}
