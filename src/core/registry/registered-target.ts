import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetReport} from './target-report.ts';

/** State of one target at a control node. */
export type RegisteredTarget = {
	report: TargetReport;
	readonly region: Region;
	/** Time at which its newest report or heartbeat was sent. */
	heardAt: Millis;
	/** `heardAt` on the registry's clock that stops with the process. */
	awakeHeardAt: Millis;
	coldUntil: Millis;
	goneAt?: Millis;
	/** Time since which the target may have become cold; unset once it has reported after that time. */
	coldUnknownSince?: Millis;
	/** True if the target withdrew or is leaving: this incarnation never serves again. */
	ended: boolean;
	/** Registry revision of the last change that entries have to learn of. */
	revision: number;
	/** True if the target sent its newest report to this node, and not through another control node. */
	direct: boolean;
};
