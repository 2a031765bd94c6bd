import type {checkSoakOverlaps} from './check-soak-overlaps.ts';
import type {ProbeRecord} from './probe-record.ts';
import type {SoakCallers} from './soak-callers.ts';
import type {SoakRefusals} from './soak-refusals.ts';

/** Results of a soak; times in milliseconds since its start. */
export type SoakReport = {
	readonly seed: number;
	readonly lengthMs: number;
	/** Messages of failed checks. */
	readonly problems: readonly string[];
	readonly faults: ReadonlyArray<{readonly name: string; readonly at: number; readonly forMs: number}>;
	readonly records: SoakCallers['records'];
	/** What became of the requests that ran at two targets; absent if the run ended before its last checks. */
	readonly overlaps?: ReturnType<typeof checkSoakOverlaps>;
	/** Refusals by targets, and copies of them. */
	readonly refusals: SoakRefusals;
	/** Probes of what entries have in force. */
	readonly probes: readonly ProbeRecord[];
	/** Number of accepted configurations. */
	readonly changes: number;
	/** Number of answered reads of the configuration. */
	readonly reads: number;
	/** Folder of the processes' logs and data, kept if a check failed. */
	readonly folder: string;
	/** Longest time that a process took to load its program. */
	readonly loadMs: number;
	/** What the machine did to the processes, if a check failed. */
	readonly machine: readonly string[];
};
