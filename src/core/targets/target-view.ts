import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import type {Reachability} from './reachability.ts';
import type {TargetSuspension} from './target-suspension.ts';

/** A target of this node's region with a valid lease, and this node's estimates for it. */
export type TargetView = {
	readonly targetId: TargetId;
	readonly announcement: Announcement;
	/** When the target measured `announcement.load`, on this node's clock. */
	readonly loadAt: Millis;
	/** This node's requests in flight at the target. */
	readonly inFlight: number;
	/** Predicted output tokens of this node's requests in flight. */
	readonly inFlightTokens: number;
	/** Smoothed predicted output tokens of the requests that this node sent to the target; undefined before the first one. */
	readonly meanOutputTokens?: number;
	/** Requests that this node sent to the target since `loadAt`. */
	readonly sentSinceReport: number;
	/** Requests of other entries and callers at the target: the reported load less this node's own requests at that time. */
	readonly othersInFlight: number;
	/**
	 * Requests that this node may have in flight at the target: the capacity left by others, but at least a fair share.
	 * The fair share is 0 if more entries share the target than it has slots; new targets have a lower limit (slow start).
	 */
	readonly limit: number;
	/** Hash of the target id, for rendezvous hashing. */
	readonly placementHash: number;
	/** Estimated milliseconds per output token of a single request with no others running, raised while answers are overdue; undefined before the first answer. */
	readonly tokenMs?: number;
	/** Estimated milliseconds to the first byte, less the prefill time of the uncached prompt tokens. */
	readonly startMs?: number;
	/** Estimated milliseconds per call of a plain service. */
	readonly callMs?: number;
	/** True while outlier ejection excludes it from selection. */
	readonly ejected: boolean;
	/** Whether this entry reaches it. */
	readonly reachability: Reachability;
	/** Why this entry sends it no new requests, and until when. */
	readonly suspension: TargetSuspension;
	/** Number of leading prefix blocks that are believed to be cached at the target. */
	cachedBlocks(prefixBlocks: readonly string[]): number;
};
