import type {Order} from './order.ts';

type OrderExecutorOptions = {
	/** True if orders with a lower fencing number than an earlier order are refused. */
	readonly honoursFencing: boolean;
	/** Bearer key that the sender must present; undefined accepts any sender. */
	readonly key?: string;
	readonly models: readonly string[];
	/** Bytes of a model that are loaded per millisecond. */
	readonly loadBytesPerMs: number;
};

/** Keeps the models that an engine has loaded and executes the orders to load and unload them. */
export class OrderExecutor {
	readonly models: Set<string>;
	/** Highest fencing number received. */
	fencing = 0;
	readonly #options: OrderExecutorOptions;

	constructor(options: OrderExecutorOptions) {
		this.#options = options;
		this.models = new Set(options.models);
	}

	/** Accepts or refuses an order; returns the HTTP status of the answer. A model counts as loaded once its load time has passed. */
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
