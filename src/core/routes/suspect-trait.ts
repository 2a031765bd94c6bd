import type {CrashId} from '../ids/crash-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';

/** A trait that is blamed for crashes, as entries get it. */
export type SuspectTrait = {
	readonly trait: RequestTrait;
	/** Crashes it is blamed for and not cleared of. */
	readonly crashes: readonly CrashId[];
	/** Number of trials granted since it was blamed first. */
	readonly trials: number;
};
