import type {EngineState} from './engine-state.ts';
import type {OrderSpec} from './order-spec.ts';

/** Messages about orders between the leader and the delegates. */
export type OrdersMessage =
	/** The leader asks a region's delegate for a report; `known` is the version of the engines that it has. */
	| {readonly type: 'lead'; readonly fencing: number; readonly known?: string}
	/** The region's engines, absent if the leader has this `version` of them, and the results of recent orders. */
	| {
		readonly type: 'report';
		readonly fencing: number;
		readonly nonce: number;
		readonly version: string;
		readonly engines?: readonly EngineState[];
		readonly results: ReadonlyArray<{readonly orderId: string; readonly ok: boolean}>;
	}
	/** Orders for the region's engines; the delegate counts `validMs` from when it sent the report with this nonce. */
	| {readonly type: 'orders'; readonly fencing: number; readonly nonce: number; readonly validMs: number; readonly orders: readonly OrderSpec[]};
