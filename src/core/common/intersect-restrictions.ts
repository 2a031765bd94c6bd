/** Intersects two lists of allowed values; undefined means no restriction. */
export function intersectRestrictions<Item>(left?: readonly Item[], right?: readonly Item[]): readonly Item[] | undefined {
	if (!left || !right) {
		return left ?? right;
	}

	return left.filter(item => right.includes(item));
}
