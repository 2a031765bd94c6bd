import type {Millis} from '../ids/millis.ts';

/** How far back starts and ends are remembered, in milliseconds; load reports older than this are not corrected. */
const historyMs = 6000;

/** Weight of the newest request in the mean of the output tokens. */
const smoothing = 0.05;

/** Own requests in flight at one target, with enough history to tell how many there were when a late report was true. */
export class InFlightHistory {
	#inFlight = 0;
	#tokens = 0;
	#starts: Millis[] = [];
	#ends: Millis[] = [];
	#noCompletionSince = 0 as Millis;
	#meanOutputTokens: number | undefined;

	/** Own requests in flight now. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Predicted output tokens of the requests in flight. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Smoothed output tokens of the requests started; long requests do not weigh more than short ones. */
	get meanOutputTokens(): number | undefined {
		return this.#meanOutputTokens;
	}

	/** Since when no request has ended though some were in flight. */
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

	/** Requests started after a time. */
	startedSince(at: Millis): number {
		return countAfter(this.#starts, at);
	}

	/** Own requests that were in flight at a time not long past. */
	inFlightAt(at: Millis): number {
		return Math.max(0, this.#inFlight - countAfter(this.#starts, at) + countAfter(this.#ends, at));
	}
}

/** Adds a time and now and then drops those beyond the history. */
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
