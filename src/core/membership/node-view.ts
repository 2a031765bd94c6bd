import type {NodeInfo} from './node-info.ts';

/** What is known of one node. */
export type NodeView = {
	readonly info: NodeInfo;
	/** `alive` is listed and used; `suspect` is used for nothing new; `dead` is forgotten after a while. */
	readonly state: 'alive' | 'suspect' | 'dead';
	readonly draining: boolean;
	/** Settings revision the node has in force. */
	readonly revision: number;
	/** Own load from 0 (idle) to 1 (full) as it reported. */
	readonly load: number;
};
