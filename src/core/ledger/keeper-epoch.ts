import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';

/** One epoch of a region's keepers. */
export type KeeperEpoch = {
	readonly region: Region;
	/** Grows by one with each change of the set. */
	readonly epoch: number;
	readonly members: readonly NodeId[];
	/**
	 * Incarnation of each member when the set was proposed. A member without a disk that has another one
	 * has lost its memory and takes part in the next epoch at the earliest.
	 */
	readonly incarnations: Readonly<Record<NodeId, number>>;
	/** Members of the previous epoch from which the state is taken over. */
	readonly previous: readonly NodeId[];
};
