import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';

/** A target of this node's region whose lease is valid, with what this node learnt of it. */
export type TargetView = {
	readonly targetId: TargetId;
	readonly announcement: Announcement;
	/** When the figures in `announcement.load` were true, on this node's clock. */
	readonly loadAt: Millis;
	/** Requests of this node in flight there. */
	readonly inFlight: number;
	/** Predicted output tokens of those that are not yet produced. */
	readonly inFlightTokens: number;
	/** Smoothed output tokens of the requests that this node sent there; undefined before the first one. */
	readonly meanOutputTokens?: number;
	/** Requests that this node sent there since `loadAt`. */
	readonly sentSinceReport: number;
	/** Requests of other callers and entries there: the reported load less this node's own part of it. */
	readonly othersInFlight: number;
	/** Requests that this node may have in flight there now: the capacity that others leave, and never less than a fair share. */
	readonly limit: number;
	/** Hash of the target's id, for rendezvous hashing. */
	readonly placementHash: number;
	/** Learnt milliseconds between output tokens for one request alone there; undefined before the first answer. */
	readonly tokenMs?: number;
	/** Learnt milliseconds to the first byte beyond the prefill of the uncached prompt. */
	readonly startMs?: number;
	/** Learnt milliseconds of one call of a plain service. */
	readonly callMs?: number;
	/** True while outlier ejection keeps it out of the choice. */
	readonly ejected: boolean;
	/** How many of the leading prefix blocks are believed to be cached there. */
	cachedBlocks(prefixBlocks: readonly string[]): number;
};
