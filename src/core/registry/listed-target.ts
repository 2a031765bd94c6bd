import type {Region} from '../ids/region.ts';
import type {TargetReport} from './target-report.ts';

/** A target as control lists it to entries; durations count from the sending of the list. */
export type ListedTarget = Omit<TargetReport, 'coldMs' | 'goneInMs' | 'state'> & {
	/** `lost` is a target that has fallen silent; it may come back. One that is leaving does not. */
	readonly state: TargetReport['state'] | 'lost';
	readonly region: Region;
	/** Milliseconds for which it stays cold; `unknown` until it has reported after a change that may have made it cold. */
	readonly coldForMs: number | 'unknown';
	readonly goneInMs?: number;
};
