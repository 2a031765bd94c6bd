/** Order to load or unload a model, as it is sent to an engine. */
export type Order = {
	readonly orderId: string;
	readonly fencing: number;
	readonly validMs: number;
	readonly action: {readonly type: 'load'; readonly model: string; readonly bytes: number} | {readonly type: 'unload'; readonly model: string};
};
