import type {Region} from '../ids/region.ts';
import type {TargetReport} from './target-report.ts';

/** A target as control lists it to entries. Durations count from the time at which the list is sent. */
export type ListedTarget = Omit<TargetReport, 'coldMs' | 'goneInMs' | 'state'> & {
	/** `lost` means that reports are missing; such a target may return, while one that is `leaving` does not in this incarnation. */
	readonly state: TargetReport['state'] | 'lost';
	readonly region: Region;
	/** Milliseconds for which it is still cold, or `unknown` if it may have become cold without having reported since. */
	readonly coldForMs: number | 'unknown';
	readonly goneInMs?: number;
};
