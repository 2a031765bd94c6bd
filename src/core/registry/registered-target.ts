import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetReport} from './target-report.ts';

/** What a control node knows of one target. */
export type RegisteredTarget = {
	report: TargetReport;
	readonly region: Region;
	heardAt: Millis;
	coldUntil: Millis;
	goneAt?: Millis;
	/** Set when the target may have become cold without having said so since. */
	coldUnknownSince?: Millis;
	/** Withdrawn or leaving: never serving again in this incarnation. */
	ended: boolean;
	/** Table revision of the last change that entries have to know. */
	revision: number;
	/** True if the newest report came to this node itself and not through another. */
	direct: boolean;
};
