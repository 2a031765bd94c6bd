/** The highest value that more than half of the voters have reached. */
export function majorityValue(values: readonly number[]): number {
	const descending = [...values].sort((left, right) => right - left);
	return descending[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
