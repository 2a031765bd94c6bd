/** Reads a header that is `1` or `0`; undefined if the value is anything else. */
export function readFlag(value: string | undefined): boolean | undefined {
	return value === '1' ? true : (value === '0' ? false : undefined);
}
