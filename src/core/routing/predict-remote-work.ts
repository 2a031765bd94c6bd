import type {RegionView} from '../membership/region-view.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import {fullBatchSlowdown} from '../targets/full-batch-slowdown.ts';
import {prefillToDecodeRatio} from '../targets/prefill-to-decode-ratio.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';

/** Forwards of the whole region that are assumed for each one of this node, since the sums were made. */
const regionForwardsPerOwnForward = 2;

/** Predicted times of a request in another region, from its sums; no cached prompt is assumed. */
export function predictRemoteWork(view: RegionView, summary: ServiceSummary, options: {
	req: RequestInfo;
	/** Own forwards that the sums do not show yet. */
	forwardsSince: number;
}): {firstByteMs: number; totalMs: number; delayMs: number; fill: number} {
	const {req, forwardsSince: sentSince} = options;
	const capacity = Math.max(1, summary.capacity);
	const load = summary.running + summary.queued + (sentSince * regionForwardsPerOwnForward);
	const fill = load / capacity;
	const ahead = Math.max(0, load + 1 - capacity);
	const tokenMs = summary.typicalMs * (req.kind === 'call' ? 1 : 1 + (fullBatchSlowdown * Math.min(1, fill)));
	const prefillMs = req.kind === 'call' ? 0 : req.promptTokens * summary.typicalMs * prefillToDecodeRatio;
	const workMs = req.kind === 'call' ? tokenMs : req.outputTokens * tokenMs;
	const waitMs = view.roundTripMs + (ahead * (prefillMs + workMs) / capacity);
	const wholeMs = waitMs + prefillMs + workMs;
	const streamedMs = waitMs + prefillMs + tokenMs;
	const delayMs = prefillMs * Math.min(load, capacity) / Math.max(1, summary.targets);
	return {
		firstByteMs: req.streamed ? streamedMs : wholeMs, totalMs: wholeMs, delayMs, fill,
	};
}
