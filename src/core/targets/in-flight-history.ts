import type {Millis} from '../ids/millis.ts';

/** How long starts and ends are kept, in milliseconds; counts at the time of an older load report are incomplete. */
const historyMs = 6000;

/** Weight of the newest request in the smoothed output tokens. */
const smoothing = 0.05;

/** This node's requests in flight at one target, with enough history to count them at the time of a late load report. */
export class InFlightHistory {
	#inFlight = 0;
	#tokens = 0;
	#starts: Millis[] = [];
	#ends: Millis[] = [];
	#noCompletionSince = 0 as Millis;
	#meanOutputTokens: number | undefined;

	/** This node's requests in flight now. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Predicted output tokens of the requests in flight. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Smoothed predicted output tokens of the started requests; each request has the same weight, whatever its length. */
	get meanOutputTokens(): number | undefined {
		return this.#meanOutputTokens;
	}

	/** Start of the current period in which requests were in flight and none has ended. */
	get noCompletionSince(): Millis {
		return this.#noCompletionSince;
	}

	start(outputTokens: number, now: Millis): void {
		if (this.#inFlight === 0) {
			this.#noCompletionSince = now;
		}

		this.#meanOutputTokens = this.#meanOutputTokens === undefined
			? outputTokens
			: this.#meanOutputTokens + (smoothing * (outputTokens - this.#meanOutputTokens));
		this.#inFlight += 1;
		this.#tokens += outputTokens;
		this.#starts = append(this.#starts, now);
	}

	end(outputTokens: number, now: Millis): void {
		this.#noCompletionSince = now;
		this.#inFlight = Math.max(0, this.#inFlight - 1);
		this.#tokens = Math.max(0, this.#tokens - outputTokens);
		this.#ends = append(this.#ends, now);
	}

	/** Number of requests started after `at`. */
	startedSince(at: Millis): number {
		return countAfter(this.#starts, at);
	}

	/** This node's requests in flight at `at`, a time within the kept history. */
	inFlightAt(at: Millis): number {
		return Math.max(0, this.#inFlight - countAfter(this.#starts, at) + countAfter(this.#ends, at));
	}
}

/** Appends a time; drops expired times once the list spans twice the history, so that pruning is rare. */
function append(times: Millis[], now: Millis): Millis[] {
	times.push(now);
	const oldest = times[0]!;
	return now - oldest > 2 * historyMs ? times.filter(time => now - time <= historyMs) : times;
}

/** Counts the times after `at` in an ascending list. */
function countAfter(times: readonly Millis[], at: Millis): number {
	let low = 0;
	let high = times.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (times[middle]! > at) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return times.length - low;
}
