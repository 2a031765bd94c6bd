import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {ListedTarget} from '../registry/listed-target.ts';
import {MovingAverage} from './moving-average.ts';
import type {PooledAttempt} from './pooled-attempt.ts';
import {PrefixCacheEstimate} from './prefix-cache-estimate.ts';
import type {TargetLoad} from './target-load.ts';

/** Extra time for which a cold target is spared, for the way of its report, in milliseconds. */
const coldMarginMs = 300;
/** Longest time that a target is kept out after a broken connection while it does not report, in milliseconds. */
const maxSuspensionMs = 4000;
/** Time for which a target that had no place gets nothing, in milliseconds. */
const fullBackoffMs = 150;
/** Time in which what a target said of other callers' requests loses half of its weight, in milliseconds. */
const loadHalfLifeMs = 1000;
/** Prompt tokens from which the time to the first event tells the reading speed. */
const minRateSampleTokens = 1000;
/** Work of an output token beside others in a batch, in prompt tokens. From an engine's step times on the first deployments. */
const outputTokenWeight = 8;
/** Time of an engine's first step that does not depend on the prompt, in milliseconds. */
const firstStepMs = 15;

/** A target of this entry's region: what control lists of it, what this entry has there, and what was learnt of it. */
export class PooledTarget {
	readonly attempts = new Map<AttemptNumber, PooledAttempt>();
	readonly prefixCache = new PrefixCacheEstimate();
	/** Prompt tokens read in a millisecond. The start is a middling engine's of the first deployments. */
	readonly prefillRate = new MovingAverage({
		weight: 0.15, initial: 45, min: 4, max: 120,
	});

	/** Milliseconds of one call of a plain service. */
	readonly callMs = new MovingAverage({
		weight: 0.1, initial: 40, min: 1, max: 5000,
	});

	/** Milliseconds between two events of a stream. */
	readonly gapMs = new MovingAverage({
		weight: 0.1, initial: 60, min: 1, max: 2000,
	});

	#listed: ListedTarget;
	#coldUntil: Millis | undefined;
	#lastSequence: number;
	#suspended: {readonly since: Millis; readonly sequence: number} | undefined;
	#fullUntil = Number.NEGATIVE_INFINITY;
	#othersLoad = {count: 0, at: Number.NEGATIVE_INFINITY};

	constructor(listed: ListedTarget, now: Millis) {
		this.#listed = listed;
		this.#lastSequence = listed.sequence;
		this.update(listed, now);
	}

	/** The newest listing. */
	get listed(): ListedTarget {
		return this.#listed;
	}

	/** Takes a newer listing; a new incarnation has forgotten everything. */
	update(listed: ListedTarget, now: Millis): void {
		if (listed.born !== this.listed.born) {
			this.prefixCache.clear();
			this.#suspended = undefined;
			this.#lastSequence = listed.sequence;
			this.#othersLoad = {count: 0, at: Number.NEGATIVE_INFINITY};
		}

		this.#listed = listed;
		this.#coldUntil = listed.coldForMs === 'unknown' ? undefined : now + listed.coldForMs + (listed.coldForMs > 0 ? coldMarginMs : 0) as Millis;
		this.recordHeartbeat(listed.sequence);
	}

	/** The target has reported under this number. */
	recordHeartbeat(sequence: number): void {
		this.#lastSequence = Math.max(sequence, this.#lastSequence);
		if (this.#suspended !== undefined && this.#lastSequence > this.#suspended.sequence) {
			this.#suspended = undefined;
		}
	}

	/** A connection to the target broke or could not be made: it is left out until it reports again. */
	suspend(now: Millis): void {
		this.#suspended = {since: now, sequence: this.#lastSequence};
	}

	/** The target said that it has no place. */
	markFull(now: Millis): void {
		this.#fullUntil = now + fullBackoffMs;
	}

	/** True if the target may get new requests. */
	usable(now: Millis): boolean {
		const suspended = this.#suspended !== undefined && now - this.#suspended.since < maxSuspensionMs;
		return this.listed.state === 'serving'
			&& this.listed.goneInMs === undefined
			&& this.#coldUntil !== undefined
			&& now >= this.#coldUntil
			&& !suspended;
	}

	isFull(now: Millis): boolean {
		return now < this.#fullUntil;
	}

	/** Takes what the target said of its load: the rest belongs to other entries. */
	updateLoad(load: TargetLoad, now: Millis): void {
		const count = Math.max(0, load.running + load.waiting - this.attempts.size);
		this.#othersLoad = {count, at: now};
	}

	/** Requests of other entries that are believed to be there. */
	othersInFlight(now: Millis): number {
		return this.#othersLoad.count * (2 ** ((this.#othersLoad.at - now) / loadHalfLifeMs));
	}

	inFlight(now: Millis): number {
		return this.attempts.size + this.othersInFlight(now);
	}

	/** Prompt tokens of this entry's requests there that are not read yet. */
	pendingPrefillTokens(now: Millis): number {
		let pending = 0;
		for (const {startedAt, sentAt, uncachedTokens, aheadTokens} of this.attempts.values()) {
			if (startedAt === undefined) {
				const done = ((now - sentAt) * this.prefillRate.value) - aheadTokens;
				pending += Math.max(0, uncachedTokens - Math.max(0, done));
			}
		}

		return pending;
	}

	/** Time that the target needs for all that this entry's requests still want of it, in milliseconds. */
	backlogMs(now: Millis): number {
		let output = 0;
		for (const {outputTokens} of this.attempts.values()) {
			output += outputTokens;
		}

		return (this.pendingPrefillTokens(now) + (output * outputTokenWeight)) / this.prefillRate.value;
	}

	/** Tokens in the target's memory that this entry's requests hold at their end. */
	kvCacheTokens(): number {
		let sum = 0;
		for (const {kvCacheTokens: memoryTokens} of this.attempts.values()) {
			sum += memoryTokens;
		}

		return sum;
	}

	/** Notes the first event of a stream, or the head of a call. */
	recordStart(attempt: AttemptNumber, now: Millis): void {
		const entry = this.attempts.get(attempt);
		if (entry === undefined || entry.startedAt !== undefined) {
			return;
		}

		entry.startedAt = now;
		entry.lastEventAt = now;
		const tokens = entry.aheadTokens + entry.uncachedTokens;
		if (tokens >= minRateSampleTokens) {
			this.prefillRate.add(tokens / Math.max(1, now - entry.sentAt - firstStepMs));
		}
	}

	/** Notes further events of a stream. */
	recordProgress(attempt: AttemptNumber, {events, tokens}: {events: number; tokens: number}, now: Millis): void {
		const entry = this.attempts.get(attempt);
		if (entry?.lastEventAt !== undefined && events > 0) {
			entry.outputTokens = Math.max(0, entry.outputTokens - tokens);
			this.gapMs.add((now - entry.lastEventAt) / events);
			entry.lastEventAt = now;
		}
	}
}
