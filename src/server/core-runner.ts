import {performance} from 'node:perf_hooks';
import type {Action as GatewayAction} from '../core/actions.ts';
import type {CoreEvent} from '../core/events.ts';
import type {Millis} from '../core/ids/millis.ts';

type CoreRunnerOptions<Event, Action> = {
	readonly node: {step(event: Event, now: Millis): readonly Action[]};
	readonly perform: (action: Action) => void;
};

/** Passes events to a core one at a time and performs the actions it returns; events raised meanwhile are queued. */
export class CoreRunner<Event = CoreEvent, Action = GatewayAction> {
	readonly #options: CoreRunnerOptions<Event, Action>;
	readonly #events: Event[] = [];
	#processing = false;

	constructor(options: CoreRunnerOptions<Event, Action>) {
		this.#options = options;
	}

	/** Milliseconds on the process's monotonic clock. */
	now(): Millis {
		return performance.now() as Millis;
	}

	step(event: Event): void {
		this.#events.push(event);
		if (this.#processing) {
			return;
		}

		this.#processing = true;
		try {
			this.#processQueue();
		} finally {
			this.#processing = false;
		}
	}

	#processQueue(): void {
		for (let event = this.#events.shift(); event !== undefined; event = this.#events.shift()) {
			for (const action of this.#options.node.step(event, this.now())) {
				this.#options.perform(action);
			}
		}
	}
}
