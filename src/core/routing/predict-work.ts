import type {RequestInfo} from '../settings/request-info.ts';
import {fullBatchSlowdown} from '../targets/full-batch-slowdown.ts';
import {prefillToDecodeRatio} from '../targets/prefill-to-decode-ratio.ts';
import type {TargetView} from '../targets/target-view.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** Predicted times of one request at one target, in milliseconds. */
type PredictedWork = {
	readonly firstByteMs: number;
	readonly totalMs: number;
	/** Sum of the delays that its prefill brings to the requests that run there. */
	readonly delayMs: number;
};

/** Predicts the times of a request at a target from its load, its learnt speed and the uncached part of the prompt. */
export function predictWork(target: TargetView, options: {
	req: RequestInfo;
	typical: TypicalSpeed;
	cachedTokens: number;
	/** False if the request could not start there at once. */
	hasRoom: boolean;
	/** Requests of this entry that wait for a target too. */
	waiting: number;
	/** Wait of the request's priority relative to the mean. @default 1 */
	waitFactor?: number;
}): PredictedWork {
	const {req, typical, cachedTokens} = options;
	const capacity = Math.max(1, target.announcement.capacity);
	const load = target.inFlight + target.othersInFlight;
	if (req.kind === 'call') {
		const callMs = target.callMs ?? typical.callMs;
		const whole = callMs + waitMs(target, callMs, options);
		return {firstByteMs: whole, totalMs: whole, delayMs: 0};
	}

	const slowdown = 1 + (fullBatchSlowdown * Math.min(1, (load + 1) / capacity));
	const tokenMs = (target.tokenMs ?? announcedTokenMs(target) ?? typical.tokenMs) * slowdown;
	const prefillMs = (req.promptTokens - cachedTokens) * promptTokenMs(target, tokenMs);
	const meanTokens = target.meanOutputTokens ?? req.outputTokens;
	const taskMs = prefillMs + (meanTokens * tokenMs);
	const startMs = waitMs(target, taskMs, options) + prefillMs + (target.startMs ?? tokenMs);
	const wholeMs = startMs + (req.outputTokens * tokenMs);
	const delayMs = prefillMs * Math.min(load, capacity);
	return {firstByteMs: req.streamed ? startMs : wholeMs, totalMs: wholeMs, delayMs};
}

/** Time until a slot is free: at the target's own queue, or here if the request may not be sent yet. */
function waitMs(target: TargetView, taskMs: number, options: {hasRoom: boolean; waiting: number; waitFactor?: number}): number {
	const {hasRoom, waiting, waitFactor = 1} = options;
	const capacity = Math.max(1, target.announcement.capacity);
	const load = target.inFlight + target.othersInFlight;
	const atTargetMs = Math.max(0, load + 1 - capacity) * taskMs / capacity;
	const hereMs = hasRoom ? 0 : (waiting + 1) * taskMs / Math.max(1, target.inFlight);
	return waitFactor * (atTargetMs + hereMs);
}

function announcedTokenMs(target: TargetView): number | undefined {
	const {tokensPerSecond} = target.announcement;
	return tokensPerSecond ? 1000 / tokensPerSecond : undefined;
}

/** Prefill time of one prompt token: announced, or taken from the time of an output token. */
function promptTokenMs(target: TargetView, tokenMs: number): number {
	const {prefillTokensPerSecond} = target.announcement;
	return prefillTokensPerSecond ? 1000 / prefillTokensPerSecond : tokenMs * prefillToDecodeRatio;
}
