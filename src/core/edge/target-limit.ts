import type {Millis} from '../ids/millis.ts';

/** A limit that a target named. */
export type TargetLimit = {
	/** Requests a second that the target takes from all entries together. */
	readonly perSecond: number;
	/** Time at which this entry learnt of it. */
	readonly namedAt: Millis;
};
