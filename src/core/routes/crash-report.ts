import type {CrashId} from '../ids/crash-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {TargetId} from '../ids/target-id.ts';

/** A crash of a target as one entry saw it: the traits of the requests whose attempts broke off there. */
export type CrashReport = {
	readonly crash: CrashId;
	readonly targetId: TargetId;
	/** Start of the incarnation that crashed, Unix time in milliseconds. */
	readonly born: number;
	/** Number of the last report of the target that the entry knew of. */
	readonly sequence: number;
	readonly traits: readonly RequestTrait[];
};
