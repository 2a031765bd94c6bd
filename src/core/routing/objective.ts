/** Share of the time to the first byte in the weighted mean with the time to the whole answer. */
const firstByteShare = 0.75;

/** Weight of the delay that a request's prefill brings to the requests that run at the target. */
const delayWeight = 1;

/** What a choice minimizes, in milliseconds; the same for targets and for other regions. */
export function objective(times: {readonly firstByteMs: number; readonly totalMs: number; readonly delayMs: number}): number {
	const ownMs = (firstByteShare * times.firstByteMs) + ((1 - firstByteShare) * times.totalMs);
	return ownMs + (delayWeight * times.delayMs);
}
