import {performance} from 'node:perf_hooks';
import type {Millis} from '../../core/ids/millis.ts';

type StepLoopOptions<Event, Action> = {
	readonly node: {step(event: Event, now: Millis): readonly Action[]};
	readonly perform: (action: Action) => void;
};

/** Feeds events to a core one at a time and carries out what it decides, on the process's one loop. */
export class StepLoop<Event, Action> {
	readonly #options: StepLoopOptions<Event, Action>;
	readonly #events: Event[] = [];
	#busy = false;

	constructor(options: StepLoopOptions<Event, Action>) {
		this.#options = options;
	}

	/** Milliseconds on the process's monotonic clock. */
	now(): Millis {
		return performance.now() as Millis;
	}

	step(event: Event): void {
		this.#events.push(event);
		if (this.#busy) {
			return;
		}

		this.#busy = true;
		try {
			for (let next = this.#events.shift(); next !== undefined; next = this.#events.shift()) {
				for (const action of this.#options.node.step(next, this.now())) {
					this.#options.perform(action);
				}
			}
		} finally {
			this.#busy = false;
		}
	}
}
