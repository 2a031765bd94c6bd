import type {RequestInfo} from '../settings/request-info.ts';
import {fullBatchSlowdown} from '../targets/full-batch-slowdown.ts';
import {prefillToDecodeRatio} from '../targets/prefill-to-decode-ratio.ts';
import type {TargetView} from '../targets/target-view.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** Predicted times of a request on a target, in milliseconds. */
type PredictedWork = {
	readonly firstByteMs: number;
	readonly totalMs: number;
	/** Sum of the delays that its prefill causes to the requests running there. */
	readonly delayMs: number;
};

/** Predicts the times of a request on a target from the target's load, its measured or announced speed and the uncached part of the prompt. */
export function predictWork(target: TargetView, options: {
	req: RequestInfo;
	typical: TypicalSpeed;
	cachedTokens: number;
	/** False if the request cannot be sent to the target now. */
	hasRoom: boolean;
	/** Requests of the service that wait at this entry. */
	waiting: number;
	/** Expected wait of the request's priority relative to the mean wait. @default 1 */
	waitFactor?: number;
}): PredictedWork {
	const {req, typical, cachedTokens} = options;
	const capacity = Math.max(1, target.announcement.capacity);
	const load = target.inFlight + target.othersInFlight;
	if (req.kind === 'call') {
		const callMs = target.callMs ?? typical.callMs;
		const durationMs = callMs + waitMs(target, callMs, options);
		return {firstByteMs: durationMs, totalMs: durationMs, delayMs: 0};
	}

	const slowdown = 1 + (fullBatchSlowdown * Math.min(1, (load + 1) / capacity));
	const tokenMs = (target.tokenMs ?? announcedTokenMs(target) ?? typical.tokenMs) * slowdown;
	const prefillMs = (req.promptTokens - cachedTokens) * promptTokenMs(target, tokenMs);
	const meanTokens = target.meanOutputTokens ?? req.outputTokens;
	const taskMs = prefillMs + (meanTokens * tokenMs);
	const startMs = waitMs(target, taskMs, options) + prefillMs + (target.startMs ?? tokenMs);
	const totalMs = startMs + (req.outputTokens * tokenMs);
	const delayMs = prefillMs * Math.min(load, capacity);
	return {firstByteMs: req.streamed ? startMs : totalMs, totalMs, delayMs};
}

/** Time until a slot is free: in the target's own queue, plus in this entry's queue if the request cannot be sent now. */
function waitMs(target: TargetView, taskMs: number, options: {hasRoom: boolean; waiting: number; waitFactor?: number}): number {
	const {hasRoom, waiting, waitFactor = 1} = options;
	const capacity = Math.max(1, target.announcement.capacity);
	const load = target.inFlight + target.othersInFlight;
	const atTargetMs = Math.max(0, load + 1 - capacity) * taskMs / capacity;
	const atEntryMs = hasRoom ? 0 : (waiting + 1) * taskMs / Math.max(1, target.inFlight);
	return waitFactor * (atTargetMs + atEntryMs);
}

function announcedTokenMs(target: TargetView): number | undefined {
	const {tokensPerSecond} = target.announcement;
	return tokensPerSecond ? 1000 / tokensPerSecond : undefined;
}

/** Prefill time of one prompt token: announced, or derived from the time of an output token. */
function promptTokenMs(target: TargetView, tokenMs: number): number {
	const {prefillTokensPerSecond} = target.announcement;
	return prefillTokensPerSecond ? 1000 / prefillTokensPerSecond : tokenMs * prefillToDecodeRatio;
}
