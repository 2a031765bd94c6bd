import type {Order} from './order.ts';

type OrderExecutorOptions = {
	/** True if an order with a lower fencing number than one seen is refused. */
	readonly honoursFencing: boolean;
	/** Key that the sender must show; undefined accepts any sender. */
	readonly key?: string;
	readonly models: readonly string[];
	/** Bytes loaded per millisecond. */
	readonly loadBytesPerMs: number;
};

/** The models that an engine holds and the orders that change them. */
export class OrderExecutor {
	readonly models: Set<string>;
	fencing = 0;
	readonly #options: OrderExecutorOptions;

	constructor(options: OrderExecutorOptions) {
		this.#options = options;
		this.models = new Set(options.models);
	}

	/** Takes an order; returns the HTTP status of the answer. */
	execute(order: Order, authorization: string | undefined): number {
		const {key, honoursFencing} = this.#options;
		if (key !== undefined && authorization !== `Bearer ${key}`) {
			return 401;
		}

		if (honoursFencing && order.fencing < this.fencing) {
			return 409;
		}

		this.fencing = Math.max(this.fencing, order.fencing);
		this.#updateModels(order);
		return 202;
	}

	#updateModels({action}: Order): void {
		if (action.type === 'unload') {
			this.models.delete(action.model);
			return;
		}

		setTimeout(() => {
			this.models.add(action.model);
		}, action.bytes / this.#options.loadBytesPerMs);
	}
}
