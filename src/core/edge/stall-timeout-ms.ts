import type {RouteRule} from '../routes/route-rule.ts';

/** Shortest silence after which a request is taken from its target, in milliseconds. */
const minTimeoutMs = 400;
/** Silence relative to the predicted time. */
const predictedFactor = 3;
/** Part of the latency objective after which the first event or the answer is awaited no longer. */
const objectiveFactor = 1.25;
/** Silence between events relative to the longest pause within the objective. */
const gapFactor = 2.5;
/** Extra time for the way to another region and for its own second try, in milliseconds. */
const forwardMarginMs = 500;

/** Silence of a target after which a request that may be repeated is sent to another one, in milliseconds. */
export function stallTimeoutMs(route: RouteRule, {predictedMs, events, away}: {predictedMs: number; events: number; away: boolean}): number {
	const base = events > 0
		? Math.max(minTimeoutMs, gapFactor * route.gapMs)
		: Math.max(minTimeoutMs, predictedFactor * predictedMs, objectiveFactor * route.objectiveMs);
	return base + (away ? forwardMarginMs : 0);
}
