import type {TargetId} from '../ids/target-id.ts';
import type {EngineOrder} from './engine-order.ts';

/** An order as the leader decides it; the delegate adds address and remaining validity. */
export type OrderSpec = {
	readonly orderId: string;
	readonly targetId: TargetId;
	readonly action: EngineOrder['action'];
};
