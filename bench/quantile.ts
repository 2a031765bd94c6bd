/** Returns the value below which the given share (0 to 1) of the values lies; NaN if there are none. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}
