import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {EngineOrder} from './engine-order.ts';
import type {OrdersMessage} from './orders-message.ts';

/** Compares wanted models with what engines announce and gives orders, under the leader's lease and fencing number. */
export interface Orders {
	/** Called on every node; `lead` is set only while this node leads with a valid lease and its `lead` command is committed. */
	tick(lease: {fencing: number; leaseUntil: Millis} | undefined, now: Millis): void;
	handle(from: NodeId, message: OrdersMessage, now: Millis): void;
	/** An order was carried out, or refused, or got no answer. */
	result(orderId: string, ok: boolean, reason: string | undefined, now: Millis): void;
	/** Orders that this node must send to engines of its region now. */
	takeOrders(): readonly EngineOrder[];
}
