import type {NodeInfo} from './node-info.ts';

/** A node in the summary of its region. */
export type RegionNode = {
	readonly info: NodeInfo;
	readonly draining: boolean;
	readonly revision: number;
	readonly load: number;
};
