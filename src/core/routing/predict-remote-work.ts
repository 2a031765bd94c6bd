import type {RegionView} from '../membership/region-view.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import {fullBatchSlowdown} from '../targets/full-batch-slowdown.ts';
import {prefillToDecodeRatio} from '../targets/prefill-to-decode-ratio.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';

/** Forwards of all entries of this region that are assumed for each forward of this node since the summary was made. */
const regionForwardsPerOwnForward = 2;

/** Predicts the times of a request in another region, in milliseconds, from the region's summary; assumes that no part of the prompt is cached there. */
export function predictRemoteWork(view: RegionView, summary: ServiceSummary, options: {
	req: RequestInfo;
	/** This node's forwards that the summary does not include. */
	forwardsSince: number;
}): {firstByteMs: number; totalMs: number; delayMs: number; fill: number} {
	const {req, forwardsSince} = options;
	const capacity = Math.max(1, summary.capacity);
	const load = summary.running + summary.queued + (forwardsSince * regionForwardsPerOwnForward);
	const fill = load / capacity;
	const ahead = Math.max(0, load + 1 - capacity);
	const tokenMs = summary.typicalMs * (req.kind === 'call' ? 1 : 1 + (fullBatchSlowdown * Math.min(1, fill)));
	const prefillMs = req.kind === 'call' ? 0 : req.promptTokens * summary.typicalMs * prefillToDecodeRatio;
	const workMs = req.kind === 'call' ? tokenMs : req.outputTokens * tokenMs;
	const waitMs = view.roundTripMs + (ahead * (prefillMs + workMs) / capacity);
	const totalMs = waitMs + prefillMs + workMs;
	const streamedMs = waitMs + prefillMs + tokenMs;
	const delayMs = prefillMs * Math.min(load, capacity) / Math.max(1, summary.targets);
	return {
		firstByteMs: req.streamed ? streamedMs : totalMs, totalMs, delayMs, fill,
	};
}
