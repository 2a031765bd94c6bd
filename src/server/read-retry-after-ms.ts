const secondMs = 1000;
const secondsPattern = /^\d+(?:\.\d+)?$/v;

/** Reads the seconds of a `Retry-After` header, with a fraction or without, as milliseconds; undefined if the value is anything else. */
export function readRetryAfterMs(value: string | undefined): number | undefined {
	return value !== undefined && secondsPattern.test(value) ? Number(value) * secondMs : undefined;
}
