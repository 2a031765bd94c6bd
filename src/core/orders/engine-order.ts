import type {TargetId} from '../ids/target-id.ts';

/** An order to one engine. */
export type EngineOrder = {
	readonly orderId: string;
	readonly targetId: TargetId;
	readonly address: string;
	/** Engines that honour it refuse an order with a lower one than they have seen. */
	readonly fencing: number;
	/** The engine must not start it later than this after receipt, in milliseconds. */
	readonly validMs: number;
	readonly action:
		| {readonly type: 'load'; readonly model: string; readonly bytes: number}
		| {readonly type: 'unload'; readonly model: string};
};
