import {LearnedTime} from '../cost/learned-time.ts';
import {ServiceCosts} from '../cost/service-costs.ts';
import {SlowdownFilter} from '../cost/slowdown-filter.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import {StateMemory} from '../memory/state-memory.ts';
import type {ListedTarget} from '../registry/listed-target.ts';
import {Reachability} from '../targets/reachability.ts';
import {TargetSuspension} from '../targets/target-suspension.ts';
import {FailureShare} from './failure-share.ts';
import {LimitShare} from './limit-share.ts';
import {NamedLimit} from './named-limit.ts';
import type {PooledAttempt} from './pooled-attempt.ts';
import {PrefixCacheEstimate} from './prefix-cache-estimate.ts';
import type {TargetLoad} from './target-load.ts';

/** Extra time for which a cold target gets no requests, to allow for the delay of its report, in milliseconds. */
const coldMarginMs = 300;
/** Longest time for which a target is suspended while no heartbeat of it arrives, in milliseconds. */
const maxSuspensionMs = 4000;
/** Reports of a target that may be on their way when one of its connections is reset. */
const reportsOnTheirWay = 1;
/** Time for which a target gets no requests after it said that it is full, in milliseconds. */
const fullBackoffMs = 150;
/** Half-life of the load of other entries that a target reported, in milliseconds. */
const loadHalfLifeMs = 1000;
/** Largest accepted ratio of the reported requests at a target to its slots, or to those that were known before; a larger number is cut to it, since a false one must not exclude the target for long. */
const maxLoadJump = 10;
/** Fewest prompt tokens for which the time to the first event is taken as a sample of the prefill time, as a share of the mean prompt of the service: with fewer, as of a cached prompt, the rest of the time outweighs the prefill. */
const minSampleShare = 0.3;
/** Fewest prompt tokens of such a sample: of a shorter prompt the connection takes more time than the prefill. */
const minSampleTokens = 500;
/** Weight of a new sample in the times of one target. */
const timeWeight = 0.1;
/** Factor of the times of the service's other targets for one that has not been measured: it would never get a request while another one that is as fast is idle. */
const priorFactor = 0.8;
/** Shortest and longest accepted time of a unit of work, in milliseconds. */
const minUnitMs = 1e-6;
/** Smallest share of the time to the first event that is taken for prefill; the rest is decoding up to the first event. */
const minPrefillShare = 0.5;

type PooledTargetOptions = {readonly phase: number; readonly maxPauseMs?: number; readonly suspension?: TargetSuspension; readonly costs?: ServiceCosts; readonly state?: StateMemory};

/** A target of this entry's region: its listing by control, this entry's attempts there, and estimates of its speed and load. */
export class PooledTarget {
	readonly attempts = new Map<AttemptNumber, PooledAttempt>();
	readonly prefixCache: PrefixCacheEstimate;
	/** Costs of its service, whose times are the priors of its own. */
	readonly costs: ServiceCosts;
	readonly #prefill: LearnedTime;
	readonly #call: LearnedTime;
	readonly #event: LearnedTime;
	#failureShare = new FailureShare();
	#breakShare = new FailureShare();
	#listed: ListedTarget;
	#goneSince: Millis | undefined;
	#coldUntil: Millis | undefined;
	#lastSequence: number;
	readonly #limit: NamedLimit;
	/** Set while the target says that it is brittle. */
	readonly #rejections = new NamedLimit(startedAt => new LimitShare({startedAt, unusedExpire: false}));
	#suspension: TargetSuspension;
	/** Number of the newest report at the time at which the target was suspected of having failed. */
	#suspectSequence = Number.POSITIVE_INFINITY;
	/** Number of the newest report that may still be of an earlier process. */
	#doubtedSequence = Number.NEGATIVE_INFINITY;
	readonly #maxPauseMs: number | undefined;
	#fullUntil = Number.NEGATIVE_INFINITY;
	#reachability = new Reachability();
	/** Time of the newest bytes from the target. */
	#lastSignAt = Number.NEGATIVE_INFINITY;
	#othersLoad = {count: 0, waiting: 0, at: Number.NEGATIVE_INFINITY};
	#slowdown = new SlowdownFilter();

	/** @param options - `phase`: see `LimitShare`; `suspension`: what is known of this incarnation from before it was listed; `costs`: those of its service; `state`: owner of what it keeps for callers. */
	constructor(listed: ListedTarget, {phase, maxPauseMs, suspension, costs = new ServiceCosts(), state = new StateMemory()}: PooledTargetOptions, now: Millis) {
		this.costs = costs;
		this.prefixCache = new PrefixCacheEstimate(state.budget('prompt-parts'));
		this.#prefill = new LearnedTime({weight: timeWeight, priorFactor, prior: slowdown => costs.prefillMs.at(slowdown)});
		this.#call = new LearnedTime({weight: timeWeight, priorFactor, prior: slowdown => costs.callMs.at(slowdown)});
		this.#event = new LearnedTime({weight: timeWeight, priorFactor, prior: slowdown => costs.eventMs.at(slowdown)});
		costs.slots.add(Math.max(1, listed.slots));
		this.#limit = new NamedLimit(startedAt => new LimitShare({phase, startedAt}));
		this.#maxPauseMs = maxPauseMs;
		this.#suspension = suspension ?? new TargetSuspension({maxPauseMs});
		this.#listed = listed;
		this.#lastSequence = listed.sequence;
		this.update(listed, now);
	}

	/** Newest listing of the target by control. */
	get listed(): ListedTarget {
		return this.#listed;
	}

	/** Time since which it has been listed as lost or leaving; undefined if it serves. */
	get goneSince(): Millis | undefined {
		return this.#goneSince;
	}

	/** Number of the newest report that is known. */
	get lastSequence(): number {
		return this.#lastSequence;
	}

	/** Takes a newer listing; `suspension` is what is known of its incarnation from before, if it is another one. A new incarnation starts with an empty KV cache, without a suspension, a limit and load of other entries. */
	update(listed: ListedTarget, now: Millis, suspension?: TargetSuspension): void {
		if (listed.born !== this.listed.born) {
			this.prefixCache.clear();
			this.#suspension = suspension ?? new TargetSuspension({maxPauseMs: this.#maxPauseMs});
			this.#suspectSequence = Number.POSITIVE_INFINITY;
			this.#doubtedSequence = Number.NEGATIVE_INFINITY;
			this.#limit.clear();
			this.#failureShare = new FailureShare();
			this.#breakShare = new FailureShare();
			this.#reachability = new Reachability();
			this.#lastSequence = listed.sequence;
			this.#othersLoad = {count: 0, waiting: 0, at: Number.NEGATIVE_INFINITY};
			this.#slowdown = new SlowdownFilter();
		}

		if (listed.state === 'leaving') {
			this.#suspension.leave();
		}

		this.#listed = listed;
		this.#goneSince = listed.state === 'serving' ? undefined : this.#goneSince ?? now;
		this.#coldUntil = listed.coldForMs === 'unknown' ? undefined : now + listed.coldForMs + (listed.coldForMs > 0 ? coldMarginMs : 0) as Millis;
		this.recordHeartbeat(listed.sequence);
	}

	/** Records that the target has reported with this sequence number; a newer one ends its suspension. */
	recordHeartbeat(sequence: number): void {
		this.#lastSequence = Math.max(sequence, this.#lastSequence);
		if (this.#lastSequence > this.#suspectSequence) {
			this.#suspension.clearSuspicion();
		}
	}

	/** Suspends the target, as after a failed request or a stall, until its next heartbeat, but for at most `maxSuspensionMs`; `mayServe` as for `TargetSuspension`. */
	suspend(now: Millis, options: {mayServe?: boolean} = {}): void {
		this.#suspectSequence = this.#lastSequence;
		this.#suspension.suspect(maxSuspensionMs, now, options);
	}

	/** Records that a connection of the target was reset: it may have started again with other software, which its next report will tell. A report of the process before may still be on its way. */
	doubtIncarnation(): void {
		this.#doubtedSequence = this.#lastSequence + reportsOnTheirWay;
	}

	/** True unless another incarnation than the listed one may run now. */
	get isConfirmed(): boolean {
		return this.#lastSequence > this.#doubtedSequence;
	}

	/** Why the present incarnation gets no new requests, and until when. */
	get suspension(): TargetSuspension {
		return this.#suspension;
	}

	/** Records that the target said that it is full. */
	markFull(now: Millis): void {
		this.#fullUntil = now + fullBackoffMs;
	}

	/** Whether this entry can open connections to the present incarnation. */
	get reachability(): Reachability {
		return this.#reachability;
	}

	/** Share of its answers with which the present incarnation says that it has failed. */
	get failureShare(): FailureShare {
		return this.#failureShare;
	}

	/** Share of its attempts of late that broke off or brought no valid answer. */
	get breakShare(): FailureShare {
		return this.#breakShare;
	}

	/** Records that bytes of the target arrived. */
	recordSign(now: Millis): void {
		this.#lastSignAt = now;
	}

	/** Time without a sign of the target while this entry has attempts there, in milliseconds. */
	silentMs(now: Millis): number {
		const [oldest] = this.attempts.values();
		return oldest === undefined ? 0 : now - Math.max(this.#lastSignAt, oldest.sentAt);
	}

	/** True if the target may get new requests. */
	usable(now: Millis): boolean {
		return this.#reachability.reachable && this.#suspension.remainingMs(now) === 0 && this.isServing(now);
	}

	/** True if only a pause that the target asked for keeps requests away. */
	isPaused(now: Millis): boolean {
		return this.#reachability.reachable && this.#suspension.pausedMs(now) > 0 && this.isServing(now);
	}

	/** True if only failed requests keep new ones away, which other requests need not share. */
	isSuspected(now: Millis): boolean {
		return this.#reachability.reachable && this.#suspension.mayServe(now) && this.isServing(now);
	}

	/** True if the target takes new requests by its listing and has not said that it leaves, whether or not this entry reaches it or has suspended it. */
	isServing(now: Millis): boolean {
		return this.listed.state === 'serving'
			&& !this.#suspension.leaving
			&& this.listed.goneInMs === undefined
			&& this.#coldUntil !== undefined
			&& now >= this.#coldUntil;
	}

	isFull(now: Millis): boolean {
		return now < this.#fullUntil;
	}

	/** Time until the target's limit lets this entry send a request, in milliseconds; 0 without a limit. `entries` is the number of entries that share the limit. */
	limitWaitMs(entries: number, now: Millis): number {
		return this.#limit.waitMs(entries, now);
	}

	/** Records that a request is sent, which counts towards the limit. */
	recordSend(entries: number, now: Millis): void {
		this.#limit.use(entries, now);
	}

	/** Takes the limit in an answer to an attempt sent at `sentAt`. An answer without one ends a limit, unless the attempt is older than it. Returns whether the limit changed. */
	updateLimit(perSecond: number | undefined, sentAt: Millis, now: Millis): boolean {
		return this.#limit.update(perSecond, sentAt, now);
	}

	/** Takes the number of rejections that a brittle target stands, in the same way; undefined if the answer names none. Returns whether it changed. */
	updateRejections(perSecond: number | undefined, sentAt: Millis, now: Millis): boolean {
		return this.#rejections.update(perSecond, sentAt, now);
	}

	/** Rejections a second that a brittle target stands; undefined if it is not brittle. */
	get rejectionsPerSecond(): number | undefined {
		return this.#rejections.perSecond;
	}

	/** Takes a target for brittle, as others of its service are, until an answer of its own says otherwise. */
	assumeBrittle(perSecond: number, now: Millis): void {
		if (this.#rejections.perSecond === undefined) {
			this.updateRejections(perSecond, now, now);
		}
	}

	/**
	 * True if a brittle target is certain to have room for another request: this entry's requests there are within its
	 * share of the slots, none of any entry waits there, and the entry has not caused more than its share of rejections.
	 */
	hasCertainRoom(entries: number, now: Millis): boolean {
		const slots = Math.max(1, this.listed.slots);
		const {waiting, at} = this.#othersLoad;
		return this.attempts.size < Math.max(1, Math.floor(slots / entries))
			&& this.inFlight(now) < slots
			&& (waiting === 0 || now - at > loadHalfLifeMs)
			&& this.#rejections.waitMs(entries, now) === 0;
	}

	/** Records that the target rejected a request of this entry, which counts towards what a brittle target stands. */
	recordRejection(entries: number, now: Millis): void {
		this.#rejections.use(entries, now);
	}

	/** Takes the load that the target reported; requests beyond this entry's own are those of other entries. Returns the figures that were implausible, and were ignored or cut. */
	updateLoad({running, waiting, slowdown}: TargetLoad, now: Millis): ReadonlyArray<'requests' | 'speed'> {
		const ignored: Array<'requests' | 'speed'> = [];
		const slots = Math.max(1, this.listed.slots);
		const known = this.attempts.size + this.#othersLoad.count;
		const limit = maxLoadJump * Math.max(slots, known);
		if (running + waiting > limit) {
			ignored.push('requests');
		}

		this.#othersLoad = {count: Math.max(0, Math.min(limit, running + waiting) - this.attempts.size), waiting, at: now};

		if (slowdown !== undefined && !this.#slowdown.add(slowdown, now)) {
			ignored.push('speed');
		}

		return ignored;
	}

	/** How many times as long as normally work takes at the target now; 1 if it tells nothing of it. */
	slowdown(now: Millis): number {
		return this.#slowdown.value(now);
	}

	/** Estimated number of requests of other entries at the target. */
	othersInFlight(now: Millis): number {
		return this.#othersLoad.count * (2 ** ((this.#othersLoad.at - now) / loadHalfLifeMs));
	}

	inFlight(now: Millis): number {
		return this.attempts.size + this.othersInFlight(now);
	}

	/** Predicted time to prefill a prompt token now, in milliseconds; greater than 0. */
	prefillMs(now: Millis): number {
		return Math.max(minUnitMs, this.#prefill.at(this.slowdown(now)) ?? 0);
	}

	/** Predicted duration of a call of a plain service up to the head of its answer, in milliseconds. */
	callMs(now: Millis): number {
		return this.#call.at(this.slowdown(now)) ?? 0;
	}

	/** Predicted time between two events of a stream, in milliseconds; 0 if unknown. */
	eventMs(now: Millis): number {
		return this.#event.at(this.slowdown(now)) ?? 0;
	}

	/** Work of this entry's requests that the target has not finished: estimated prompt tokens to prefill, output tokens, and tokens in its KV cache at their end. */
	ownWork(now: Millis): {readonly prefillTokens: number; readonly outputTokens: number; readonly kvCacheTokens: number} {
		let prefillTokens = 0;
		let outputTokens = 0;
		let kvCacheTokens = 0;
		const prefillMs = this.attempts.size === 0 ? minUnitMs : this.prefillMs(now);
		for (const attempt of this.attempts.values()) {
			outputTokens += attempt.outputTokens;
			kvCacheTokens += attempt.kvCacheTokens;
			if (attempt.startedAt === undefined) {
				const done = ((now - attempt.sentAt) / prefillMs) - attempt.aheadTokens;
				prefillTokens += Math.max(0, attempt.uncachedTokens - Math.max(0, done));
			}
		}

		return {prefillTokens, outputTokens, kvCacheTokens};
	}

	/** Records the first event of a stream, or the head of a call. */
	recordStart(attempt: AttemptNumber, now: Millis): void {
		const pooled = this.attempts.get(attempt);
		if (pooled === undefined || pooled.startedAt !== undefined) {
			return;
		}

		pooled.startedAt = now;
		pooled.lastEventAt = now;
		const elapsedMs = Math.max(1, now - pooled.sentAt);
		this.costs.startErrors.add(elapsedMs / Math.max(1, pooled.predictedMs));
		const tokens = pooled.aheadTokens + pooled.uncachedTokens;
		if (tokens >= Math.max(minSampleTokens, minSampleShare * (this.costs.promptTokens.value ?? 0))) {
			this.#learn('prefill', Math.max(minPrefillShare * elapsedMs, elapsedMs - this.eventMs(now)) / tokens, now);
		}
	}

	/** Records the duration of a call up to the head of its answer, in milliseconds. */
	recordCall(durationMs: number, now: Millis): void {
		this.#learn('call', Math.max(1, durationMs), now);
	}

	/** Records further events of a stream. */
	recordProgress(attempt: AttemptNumber, {events, tokens}: {events: number; tokens: number}, now: Millis): void {
		const pooled = this.attempts.get(attempt);
		if (pooled?.lastEventAt !== undefined && events > 0) {
			pooled.outputTokens = Math.max(0, pooled.outputTokens - tokens);
			this.#learn('event', Math.max(1, now - pooled.lastEventAt) / events, now);
			pooled.lastEventAt = now;
		}
	}

	#learn(work: 'prefill' | 'call' | 'event', time: number, now: Millis): void {
		const slowdown = this.slowdown(now);
		const {own, ofService} = {
			prefill: {own: this.#prefill, ofService: this.costs.prefillMs},
			call: {own: this.#call, ofService: this.costs.callMs},
			event: {own: this.#event, ofService: this.costs.eventMs},
		}[work];
		own.add(time, slowdown);
		ofService.add(time, slowdown);
	}
}
