import type {Millis} from '../ids/millis.ts';
import type {Orders} from './orders.ts';

/** Gives no orders: engines keep the models that they announce. */
export class NoOrders implements Orders {
	tick(_lead: unknown, _now: Millis): void {
		// Nothing is wanted.
	}

	handle(_from: string, _message: unknown, _now: Millis): void {
		// Nothing is told.
	}

	result(_orderId: string, _ok: boolean, _reason: string | undefined, _now: Millis): void {
		// No order was given.
	}

	takeOrders() {
		return [];
	}
}
