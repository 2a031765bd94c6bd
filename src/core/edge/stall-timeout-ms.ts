import type {RouteRule} from '../routes/route-rule.ts';

/** Shortest stall timeout, in milliseconds. */
const minTimeoutMs = 400;
/** Timeout before the first event or answer, relative to its predicted time. */
const predictedFactor = 3;
/** Timeout before the first event or answer, relative to the route's latency objective. */
const objectiveFactor = 1.25;
/** Timeout between events, relative to the longest pause that the route's objective allows. */
const gapFactor = 2.5;
/** Extra time for a forwarded request: the round trip to the other entry and a retry there, in milliseconds. */
const forwardMarginMs = 500;

/** Time without progress after which an attempt counts as stalled, so that its request may be retried elsewhere, in milliseconds. */
export function stallTimeoutMs(route: RouteRule, {predictedMs, events, forwarded}: {predictedMs: number; events: number; forwarded: boolean}): number {
	const base = events > 0
		? Math.max(minTimeoutMs, gapFactor * route.gapMs)
		: Math.max(minTimeoutMs, predictedFactor * predictedMs, objectiveFactor * route.objectiveMs);
	return base + (forwarded ? forwardMarginMs : 0);
}
