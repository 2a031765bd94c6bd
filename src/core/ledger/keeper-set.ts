import type {KeeperEpoch} from './keeper-epoch.ts';

/** The nodes that store a region's claims (its keepers), decided by the replicated log; a claim is granted once all of them hold it. */
export type KeeperSet = KeeperEpoch & {
	/** The last few earlier epochs, newest first, for nodes that missed some of them. */
	readonly earlier: readonly KeeperEpoch[];
};
