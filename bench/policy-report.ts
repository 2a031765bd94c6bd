import type {PolicyRecord} from './policy-record.ts';
import type {PolicyRow} from './policy-row.ts';

/** Requests that arrive before this time only warm up the caches and are not counted, in milliseconds. */
const warmUpMs = 30_000;

/** Columns of a row that are computed from the records of its run. */
type RunFigures = Omit<PolicyRow, 'deployment' | 'scenario' | 'loadShare' | 'policy' | 'engineSeconds' | 'recomputedPrefillTokens'>;

/** Computes the figures of one run from its records; `tokenRate` is the engines' capacity in output tokens per second. */
export function policyReport(records: readonly PolicyRecord[], tokenRate: number, durationMs: number): RunFigures {
	const counted = records.filter(record => record.arrivedAt >= warmUpMs);
	const completions = counted.filter(record => record.kind === 'completion');
	const answered = completions.filter(record => record.wholeAt !== undefined);
	const first = answered.map(record => record.firstAt! - record.arrivedAt).toSorted((a, b) => a - b);
	const whole = answered.map(record => record.wholeAt! - record.arrivedAt).toSorted((a, b) => a - b);
	const offeredTokens = sumTokens(completions);
	const goodTokens = sumTokens(answered.filter(record => record.firstAt! <= record.deadlineAt));
	const capacity = tokenRate * (durationMs - warmUpMs) / 1000;
	return {
		p50TtftMs: quantile(first, 0.5),
		p99TtftMs: quantile(first, 0.99),
		p50WholeMs: quantile(whole, 0.5),
		p99WholeMs: quantile(whole, 0.99),
		awayShare: round(counted.filter(record => record.away).length / counted.length),
		goodputShare: round(goodTokens / Math.min(offeredTokens, capacity)),
		refusals: countRefusals(counted),
		jain: round(jainIndex(counted)),
	};
}

function sumTokens(records: readonly PolicyRecord[]): number {
	let sum = 0;
	for (const {tokens} of records) {
		sum += tokens;
	}

	return sum;
}

function quantile(sorted: readonly number[], share: number): number {
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

function countRefusals(records: readonly PolicyRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const record of records) {
		if (record.wholeAt === undefined) {
			const reason = record.refusal ?? 'unfinished';
			counts[reason] = (counts[reason] ?? 0) + 1;
		}
	}

	return counts;
}

function jainIndex(records: readonly PolicyRecord[]): number {
	const organisations = new Map<string, {offered: number; answered: number}>();
	for (const record of records) {
		const counts = organisations.get(record.organisation) ?? {offered: 0, answered: 0};
		counts.offered += 1;
		counts.answered += record.wholeAt === undefined ? 0 : 1;
		organisations.set(record.organisation, counts);
	}

	let sum = 0;
	let squares = 0;
	for (const {offered, answered} of organisations.values()) {
		sum += answered / offered;
		squares += (answered / offered) ** 2;
	}

	return squares === 0 ? 0 : (sum ** 2) / (organisations.size * squares);
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
