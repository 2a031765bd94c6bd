/** Weight of the time to the first byte; the rest is the weight of the time to the end of the answer. */
const firstByteShare = 0.75;

/** Weight of the delay that a request's prefill causes to the requests running on the target. */
const delayWeight = 1;

/** Objective function of routing, in milliseconds; lower is better, and targets and remote regions are comparable. */
export function objective(times: {readonly firstByteMs: number; readonly totalMs: number; readonly delayMs: number}): number {
	const ownMs = (firstByteShare * times.firstByteMs) + ((1 - firstByteShare) * times.totalMs);
	return ownMs + (delayWeight * times.delayMs);
}
