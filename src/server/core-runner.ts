import {performance} from 'node:perf_hooks';
import type {Action} from '../core/actions.ts';
import type {CoreEvent} from '../core/events.ts';
import type {Millis} from '../core/ids/millis.ts';

type CoreRunnerOptions = {
	readonly node: {step(event: CoreEvent, now: Millis): readonly Action[]};
	readonly perform: (action: Action) => void;
};

/** Feeds events to the core one at a time and carries out what it decides, on the process's one loop. */
export class CoreRunner {
	readonly #options: CoreRunnerOptions;
	readonly #events: CoreEvent[] = [];
	#busy = false;

	constructor(options: CoreRunnerOptions) {
		this.#options = options;
	}

	/** Milliseconds on the process's monotonic clock. */
	now(): Millis {
		return performance.now() as Millis;
	}

	step(event: CoreEvent): void {
		this.#events.push(event);
		if (this.#busy) {
			return;
		}

		this.#busy = true;
		try {
			this.#drain();
		} finally {
			this.#busy = false;
		}
	}

	#drain(): void {
		for (let event = this.#events.shift(); event; event = this.#events.shift()) {
			for (const action of this.#options.node.step(event, this.now())) {
				this.#options.perform(action);
			}
		}
	}
}
