import type {NodeInfo} from './node-info.ts';

/** A node's state as seen by this node. */
export type NodeView = {
	readonly info: NodeInfo;
	/** `alive` nodes are listed and used; `suspect` ones get no new work; `dead` ones are removed after a while. */
	readonly state: 'alive' | 'suspect' | 'dead';
	readonly draining: boolean;
	/** Settings revision the node has in force. */
	readonly revision: number;
	/** Load that the node reported, from 0 (idle) to 1 (full). */
	readonly load: number;
};
