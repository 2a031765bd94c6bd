import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';

/** The members of a region's keeper set in one epoch. */
export type KeeperEpoch = {
	readonly region: Region;
	/** Increases by one with each change of the set. */
	readonly epoch: number;
	readonly members: readonly NodeId[];
	/**
	 * Incarnation of each member when the set was proposed. A member without a disk that runs under another incarnation
	 * has lost its claims and cannot serve before the next epoch.
	 */
	readonly incarnations: Readonly<Record<NodeId, number>>;
	/** Members of the previous epoch, from which the claims are transferred. */
	readonly previous: readonly NodeId[];
};
