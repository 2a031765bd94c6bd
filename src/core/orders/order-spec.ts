import type {TargetId} from '../ids/target-id.ts';
import type {EngineOrder} from './engine-order.ts';

/** An order as the leader issues it; the delegate adds the engine's address, the fencing number and the remaining validity. */
export type OrderSpec = {
	readonly orderId: string;
	readonly targetId: TargetId;
	readonly action: EngineOrder['action'];
};
