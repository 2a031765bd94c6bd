/** Ratio between the centres of two neighbouring buckets; quantiles have about half of it as relative error. */
const step = 1.15;
/** Buckets on each side of ratio 1: ratios from 1/88 to 88. */
const sideBuckets = 32;
/** Samples after which all counts are halved, so that old samples fade. */
const maxSamples = 512;

/** Distribution of ratios, for example of measured to predicted times: a histogram with logarithmic buckets in which old samples fade. */
export class RatioSketch {
	readonly #counts = new Float64Array((2 * sideBuckets) + 1);
	#total = 0;

	/** Number of samples, of which old ones count for less than 1. */
	get samples(): number {
		return this.#total;
	}

	add(ratio: number): void {
		if (!(ratio >= 0)) {
			return;
		}

		const bucket = Math.round(Math.log(ratio) / Math.log(step));
		this.#counts[Math.min(sideBuckets, Math.max(-sideBuckets, bucket)) + sideBuckets]! += 1;
		this.#total += 1;
		if (this.#total >= maxSamples) {
			this.#total /= 2;
			for (const index of this.#counts.keys()) {
				this.#counts[index]! /= 2;
			}
		}
	}

	/** Ratio that this share of the samples does not exceed; undefined without samples. */
	quantile(share: number): number | undefined {
		if (this.#total === 0) {
			return undefined;
		}

		let left = share * this.#total;
		for (const [index, count] of this.#counts.entries()) {
			left -= count;
			if (left <= 1e-9) {
				return step ** (index - sideBuckets);
			}
		}

		return step ** sideBuckets;
	}
}
