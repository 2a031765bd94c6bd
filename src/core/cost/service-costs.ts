import type {Prompt} from '../edge/prompt.ts';
import {LearnedTime} from './learned-time.ts';
import {Mean} from './mean.ts';
import {RatioSketch} from './ratio-sketch.ts';
import type {ServiceCostSummary} from './service-cost-summary.ts';

/** Weight of a new sample in the times over all targets of a service, and in the means of its requests. */
const timeWeight = 0.05;
const requestWeight = 0.02;
/** Share of its latency objective that a request is assumed to take alone, while nothing has been measured anywhere. */
const assumedObjectiveShare = 0.25;
/** Fewest finished streams from which the length of outputs is predicted. */
const minOutputSamples = 16;
/** Finished streams from one computation of the predictions to the next, to save processor time. */
const outputsPerUpdate = 8;
/** Quantile of the output's length that memory is reserved for. */
const cautiousQuantile = 0.9;
/** Number of tokens that `ServiceCostSummary.prefillMsPer1000` counts for. */
const summaryTokens = 1000;

/**
 * What this entry has learned of a service's requests and of all its targets together.
 *
 * Requests of one service differ in their work by orders of magnitude, and callers' estimates of output tokens are often
 * far off: their error is learned as a distribution. The times are the priors of targets without measurements.
 */
export class ServiceCosts {
	/** Time to prefill a prompt token. */
	readonly prefillMs = new LearnedTime({weight: timeWeight, prior: slowdown => scaled(this.#assumedPrefillMs, slowdown)});
	/** Time between two events of a stream. */
	readonly eventMs = new LearnedTime({weight: timeWeight, prior: slowdown => scaled(this.#summary.eventMs, slowdown)});
	/** Duration of a call up to the head of its answer. */
	readonly callMs = new LearnedTime({weight: timeWeight, prior: slowdown => scaled(this.#summary.callMs, slowdown)});
	/** Ratios of the measured time to the start to the predicted one. */
	readonly startErrors = new RatioSketch();
	/** Tokens that a request occupies in an engine's KV cache at its end. */
	readonly kvCacheTokens = new Mean(requestWeight);
	readonly promptTokens = new Mean(requestWeight);
	/** Slots of a target, from its listing. */
	readonly slots = new Mean(timeWeight);
	readonly #hintErrors = new RatioSketch();
	readonly #limitErrors = new RatioSketch();
	#summary: ServiceCostSummary = {};
	#objectivePrefillMs = Number.POSITIVE_INFINITY;
	/** Finished streams since the predictions were computed last. */
	#newOutputs = 0;
	#outputFactors = {median: {hint: 1, limit: 1}, cautious: {hint: Number.POSITIVE_INFINITY, limit: 1}};

	get #assumedPrefillMs(): number | undefined {
		const summarized = this.#summary.prefillMsPer1000;
		if (summarized !== undefined) {
			return summarized / summaryTokens;
		}

		return Number.isFinite(this.#objectivePrefillMs) ? this.#objectivePrefillMs : undefined;
	}

	/** True once all that control tells of the service has been measured by this entry: the time of a call, or those of streams. */
	get isMeasured(): boolean {
		return this.callMs.samples > 0 || (this.prefillMs.samples > 0 && this.eventMs.samples > 0);
	}

	/** Takes what control tells of the service. */
	setSummary(summary: ServiceCostSummary): void {
		this.#summary = summary;
	}

	/** Records the objective of a prompt, from which the prefill time is assumed while none has been measured: the prompt that demands the fastest prefill counts. The duration of a call counts as 0 until it is measured. */
	recordObjective({promptTokens}: Prompt, objectiveMs: number): void {
		if (promptTokens > 0 && objectiveMs > 0 && Number.isFinite(objectiveMs)) {
			this.#objectivePrefillMs = Math.min(this.#objectivePrefillMs, assumedObjectiveShare * objectiveMs / promptTokens);
		}
	}

	/** Records a stream that was read to its end. */
	recordOutput({outputTokens, lengthHint}: Prompt, tokens: number): void {
		if (outputTokens > 0) {
			this.#limitErrors.add(Math.min(1, tokens / outputTokens));
		}

		if (lengthHint !== undefined && lengthHint > 0) {
			this.#hintErrors.add(tokens / lengthHint);
		}

		this.#newOutputs += 1;
		if (this.#newOutputs >= outputsPerUpdate) {
			this.#newOutputs = 0;
			this.#outputFactors = {median: this.#factors(0.5), cautious: this.#factors(cautiousQuantile)};
		}
	}

	/** Predicted output tokens: the median, or, if `cautious`, a number that nine of ten outputs do not exceed. Never more than the announced maximum. */
	outputTokens({outputTokens, lengthHint}: Prompt, {cautious = false} = {}): number {
		const {hint, limit} = cautious ? this.#outputFactors.cautious : this.#outputFactors.median;
		return lengthHint !== undefined && lengthHint > 0 ? Math.min(outputTokens, lengthHint * hint) : outputTokens * limit;
	}

	/** Summary for control; undefined without any measurement. */
	summary(): ServiceCostSummary | undefined {
		const prefillMsPer1000 = measured(this.prefillMs, summaryTokens);
		const eventMs = measured(this.eventMs);
		const callMs = measured(this.callMs);
		const known = {...prefillMsPer1000 !== undefined && {prefillMsPer1000}, ...eventMs !== undefined && {eventMs}, ...callMs !== undefined && {callMs}};
		return Object.keys(known).length === 0 ? undefined : {...known, ...this.slots.value !== undefined && {slots: Math.round(this.slots.value)}};
	}

	/** Mean slots of a target of the service, at least 1. */
	get typicalSlots(): number {
		return Math.max(1, this.slots.value ?? this.#summary.slots ?? 1);
	}

	#factors(share: number): {hint: number; limit: number} {
		const isCautious = share > 0.5;
		return {
			hint: (this.#hintErrors.samples < minOutputSamples ? undefined : this.#hintErrors.quantile(share)) ?? (isCautious ? Number.POSITIVE_INFINITY : 1),
			limit: (this.#limitErrors.samples < minOutputSamples ? undefined : this.#limitErrors.quantile(share)) ?? 1,
		};
	}
}

function scaled(time: number | undefined, slowdown: number): number | undefined {
	return time === undefined ? undefined : time * slowdown;
}

/** Estimate at normal speed, to three digits, if it rests on measurements. */
function measured(time: LearnedTime, factor = 1): number | undefined {
	return time.samples === 0 ? undefined : Number((time.at(1)! * factor).toPrecision(3));
}
