import type {ServiceCostSummary} from './service-cost-summary.ts';

const digits = 3;
const names = ['prefillMsPer1000', 'eventMs', 'callMs', 'slots'] as const;

/** Means of the figures of several summaries, to three digits; figures that are not positive numbers are left out. */
export function meanCostSummary(summaries: readonly ServiceCostSummary[]): ServiceCostSummary {
	const means: {-readonly [Name in keyof ServiceCostSummary]: number} = {};
	for (const name of names) {
		const figures = summaries.map(summary => summary[name] ?? Number.NaN).filter(figure => figure > 0 && Number.isFinite(figure));
		if (figures.length > 0) {
			means[name] = Number((figures.reduce((sum, figure) => sum + figure, 0) / figures.length).toPrecision(digits));
		}
	}

	return means;
}
