import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';

/** The nodes that keep a region's claims, decided by the replicated log; all of them must hold a claim. */
export type KeeperSet = {
	readonly region: Region;
	/** Grows by one with each change of the set. */
	readonly epoch: number;
	readonly members: readonly NodeId[];
	/** Members of the previous epoch from which the state is taken over. */
	readonly previous: readonly NodeId[];
};
