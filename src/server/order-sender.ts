import {Agent, request} from 'undici';
import type {CoreEvent} from '../core/events.ts';
import type {EngineOrder} from '../core/orders/engine-order.ts';
import {constants} from '../settings/constants.ts';

type OrderSenderOptions = {
	/** Bearer key for engines that authenticate the sender of orders; undefined if none is set. */
	readonly key: () => string | undefined;
	readonly step: (event: CoreEvent) => void;
};

/** Sends orders to engines and reports the result of each to the core. */
export class OrderSender {
	readonly #options: OrderSenderOptions;
	readonly #agent = new Agent({connect: {timeout: constants.connectTimeoutMs}});

	constructor(options: OrderSenderOptions) {
		this.#options = options;
	}

	async send(order: EngineOrder): Promise<void> {
		const {orderId, address, fencing, validMs, action} = order;
		try {
			const res = await request(`http://${address}/v1/orders`, {
				method: 'POST',
				dispatcher: this.#agent,
				headers: {'content-type': 'application/json', ...this.#authorization()},
				body: JSON.stringify({
					orderId, fencing, validMs, action,
				}),
				headersTimeout: validMs,
				// Answers name no order: one that is written once more would be taken for that of the next one.
				reset: true,
			});
			await res.body.dump();
			const ok = res.statusCode < 300;
			this.#options.step({
				type: 'order-result', orderId, ok, reason: ok ? undefined : `status ${res.statusCode}`,
			});
		} catch (error) {
			this.#options.step({
				type: 'order-result', orderId, ok: false, reason: (error as Error).message,
			});
		}
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}

	#authorization(): Record<string, string> {
		const key = this.#options.key();
		return key === undefined ? {} : {authorization: `Bearer ${key}`};
	}
}
