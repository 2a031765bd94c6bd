import type {EngineState} from './engine-state.ts';
import type {OrderSpec} from './order-spec.ts';

/** Messages of the orders part between processes. */
export type OrdersMessage =
	/** The leader asks a region's delegate for its engines; `known` is the version it has. */
	| {readonly type: 'lead'; readonly fencing: number; readonly known?: string}
	/** The delegate's engines, left out if the leader has this version, and how recent orders went. */
	| {
		readonly type: 'report';
		readonly fencing: number;
		readonly nonce: number;
		readonly version: string;
		readonly engines?: readonly EngineState[];
		readonly results: ReadonlyArray<{readonly orderId: string; readonly ok: boolean}>;
	}
	/** Orders for the delegate's engines; the delegate counts `validMs` from when it sent the report of this nonce. */
	| {readonly type: 'orders'; readonly fencing: number; readonly nonce: number; readonly validMs: number; readonly orders: readonly OrderSpec[]};
