import type {NodeInfo} from './node-info.ts';

/** A node as its region describes it to other regions. */
export type RegionNode = {
	readonly info: NodeInfo;
	readonly draining: boolean;
	readonly revision: number;
	readonly load: number;
};
