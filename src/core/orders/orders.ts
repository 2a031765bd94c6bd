import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {EngineOrder} from './engine-order.ts';
import type {OrdersMessage} from './orders-message.ts';

/** Compares wanted models with the ones that engines announce and issues load and unload orders, under the leader's lease and fencing number. */
export interface Orders {
	/** Called on every node; `lease` is set only while this node leads with a valid lease and the `lead` command of its term is committed. */
	tick(lease: {fencing: number; leaseUntil: Millis} | undefined, now: Millis): void;
	handle(from: NodeId, message: OrdersMessage, now: Millis): void;
	/** Records the result of an order: `ok` if the engine accepted it, false if it refused or did not answer. */
	result(orderId: string, ok: boolean, reason: string | undefined, now: Millis): void;
	/** Takes the orders that this node must send to engines of its region now. */
	takeOrders(): readonly EngineOrder[];
}
