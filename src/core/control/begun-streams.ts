import type {Millis} from '../ids/millis.ts';
import type {BegunStream} from './begun-stream.ts';
import {controlTiming} from './control-timing.ts';

/** Remembers where recent streams began, by the caller's id of the request that brought the first event. */
export class BegunStreams {
	/** In the order in which they were recorded. */
	readonly #streams = new Map<string, {readonly stream: BegunStream; readonly recordedAt: Millis}>();

	get(callerKey: string): BegunStream | undefined {
		return this.#streams.get(callerKey)?.stream;
	}

	/** Records a stream; one that is known keeps its origin. */
	record(callerKey: string, stream: BegunStream, now: Millis): void {
		if (!this.#streams.has(callerKey)) {
			this.#streams.set(callerKey, {stream, recordedAt: now});
		}
	}

	/** All streams that are still remembered. */
	list(): ReadonlyArray<readonly [callerKey: string, stream: BegunStream]> {
		return [...this.#streams].map(([callerKey, {stream}]) => [callerKey, stream] as const);
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
