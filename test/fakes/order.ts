/** An order as an engine gets it. */
export type Order = {
	readonly orderId: string;
	readonly fencing: number;
	readonly validMs: number;
	readonly action: {readonly type: 'load'; readonly model: string; readonly bytes: number} | {readonly type: 'unload'; readonly model: string};
};
