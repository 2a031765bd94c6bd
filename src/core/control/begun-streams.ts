import type {CallerKey} from '../ids/caller-key.ts';
import type {Millis} from '../ids/millis.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import type {BegunStream} from './begun-stream.ts';
import {controlTiming} from './control-timing.ts';

/** Memory of the record of a stream, beyond its key, in bytes. */
const recordBytes = 64;

/** Remembers where recent streams began, by the caller's id of the request that brought the first event. */
export class BegunStreams {
	/** In the order in which they were recorded. */
	readonly #streams: CountedMap<CallerKey, {readonly stream: BegunStream; readonly recordedAt: Millis}>;
	/** The stream that was recorded last: most began at the same software version, and share it. */
	#last: BegunStream | undefined;

	/** @param budget - Whoever records streams has to see that it has room: what was recorded is kept. */
	constructor(budget: StateBudget) {
		this.#streams = new CountedMap({budget, whenFull: 'keep', valueBytes: () => recordBytes});
	}

	get(callerKey: CallerKey): BegunStream | undefined {
		return this.#streams.get(callerKey)?.stream;
	}

	/** Records a stream; one that is known keeps its origin. */
	record(callerKey: CallerKey, stream: BegunStream, now: Millis): void {
		if (!this.#streams.has(callerKey)) {
			this.#last = isSame(this.#last, stream) ? this.#last : stream;
			this.#streams.set(callerKey, {stream: this.#last!, recordedAt: now});
		}
	}

	/** All streams that are still remembered. */
	* list(): Iterable<readonly [callerKey: CallerKey, stream: BegunStream]> {
		for (const [callerKey, {stream}] of this.#streams) {
			yield [callerKey, stream];
		}
	}

	/** Forgets streams that can no longer be taken up. */
	tick(now: Millis): void {
		for (const [callerKey, {recordedAt}] of this.#streams) {
			if (now - recordedAt <= controlTiming.streamRetentionMs) {
				return;
			}

			this.#streams.delete(callerKey);
		}
	}
}

function isSame(left: BegunStream | undefined, right: BegunStream): boolean {
	return left?.service === right.service && left.softwareVersion === right.softwareVersion;
}
