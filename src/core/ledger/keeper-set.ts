import type {KeeperEpoch} from './keeper-epoch.ts';

/** The nodes that keep a region's claims, decided by the replicated log; all of them must hold a claim. */
export type KeeperSet = KeeperEpoch & {
	/** The last few epochs before, newest first, for members that did not hear of each. */
	readonly earlier: readonly KeeperEpoch[];
};
