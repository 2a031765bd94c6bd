import type {TargetId} from '../ids/target-id.ts';

/** An order to one engine to load or unload a model. */
export type EngineOrder = {
	readonly orderId: string;
	readonly targetId: TargetId;
	readonly address: string;
	/** Fencing number of the leader. Engines that support fencing refuse an order with a lower number than they have seen. */
	readonly fencing: number;
	/** Time after receipt within which the engine must start the order or drop it, in milliseconds. */
	readonly validMs: number;
	readonly action:
		| {readonly type: 'load'; readonly model: string; readonly bytes: number}
		| {readonly type: 'unload'; readonly model: string};
};
