import type {Histogram} from 'hdr-histogram-js';
// The index of the library also loads its log format and WebAssembly, which no process uses.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';

const quantiles = [[50, '0.5'], [90, '0.9'], [95, '0.95'], [99, '0.99'], [99.9, '0.999']] as const;
const maxMicroseconds = 3_600_000_000;
const significantDigits = 2;
/** Histograms whose counts are 64-bit numbers. */
const LatencyHistogram = constructorFromBucketSize(64);

/** Counters with a reason label, gauges and latency histograms of a process, in the Prometheus text format. */
export class Metrics {
	readonly #counters = new Map<string, Map<string, number>>();
	readonly #gauges = new Map<string, () => number>();
	readonly #histograms = new Map<string, {histogram: Histogram; sum: number}>();

	/** Adds to a counter; an empty reason gives no label. */
	count(name: string, reason = '', amount = 1): void {
		let reasons = this.#counters.get(name);
		if (!reasons) {
			reasons = new Map();
			this.#counters.set(name, reasons);
		}

		reasons.set(reason, (reasons.get(reason) ?? 0) + amount);
	}

	/** Registers a gauge whose value is read at each scrape. */
	gauge(name: string, read: () => number): void {
		this.#gauges.set(name, read);
	}

	/** Records a duration in milliseconds. The histogram has two significant digits and is capped at 1 hour; the sum is exact. */
	time(name: string, milliseconds: number): void {
		let entry = this.#histograms.get(name);
		if (!entry) {
			entry = {histogram: new LatencyHistogram(1, maxMicroseconds, significantDigits), sum: 0};
			this.#histograms.set(name, entry);
		}

		const microseconds = Math.min(maxMicroseconds, Math.max(1, Math.round(milliseconds * 1000)));
		entry.histogram.recordValue(microseconds);
		entry.sum += milliseconds;
	}

	/** Value of a counter, for status pages and tests. */
	value(name: string, reason = ''): number {
		return this.#counters.get(name)?.get(reason) ?? 0;
	}

	/** All metrics in the text format. */
	expose(): string {
		return [...this.#counterLines(), ...this.#gaugeLines(), ...this.#histogramLines(), ''].join('\n');
	}

	* #counterLines() {
		for (const [name, reasons] of this.#counters) {
			yield `# TYPE lovageferry_${name}_total counter`;
			for (const [reason, value] of reasons) {
				const label = reason === '' ? '' : `{reason="${escapeLabel(reason)}"}`;
				yield `lovageferry_${name}_total${label} ${value}`;
			}
		}
	}

	* #gaugeLines() {
		for (const [name, read] of this.#gauges) {
			yield `# TYPE lovageferry_${name} gauge`;
			yield `lovageferry_${name} ${read()}`;
		}
	}

	* #histogramLines() {
		for (const [name, {histogram, sum}] of this.#histograms) {
			const metric = `lovageferry_${name}_seconds`;
			yield `# TYPE ${metric} summary`;
			for (const [quantile, label] of quantiles) {
				yield `${metric}{quantile="${label}"} ${histogram.getValueAtPercentile(quantile) / 1_000_000}`;
			}

			yield `${metric}_sum ${sum / 1000}`;
			yield `${metric}_count ${histogram.totalCount}`;
		}
	}
}

/** Escapes a label's value, which may be a name from a document. */
function escapeLabel(value: string): string {
	return value.replaceAll('\\', '\\\\').replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);
}
