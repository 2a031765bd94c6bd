/** Time after which an earlier attempt may no longer be at work once its successor is seen to work, in milliseconds: a rule of the platform. */
const maxOverlapMs = 400;
/** Time by which the tick that ends the overlap may be late, in milliseconds: ticks come every 50 or 100 ms. */
const tickAllowanceMs = 100;
/** Time for the way of the successor's head to this process, or of the cancel to the earlier attempt's target, in milliseconds. */
const wayAllowanceMs = 50;
/** Time that such a way takes longer over another entry, in milliseconds: a way between regions, and a turn of a busy process. */
const hopAllowanceMs = 50;

/**
 * Time for which an attempt is kept after the first sign that its successor works, in milliseconds, so that it goes on
 * if the successor breaks off.
 *
 * @param hops - Number of the two attempts that run through another entry.
 */
export function overlapLimitMs(hops: 0 | 1 | 2): number {
	return maxOverlapMs - tickAllowanceMs - (2 * wayAllowanceMs) - (hops * hopAllowanceMs);
}
