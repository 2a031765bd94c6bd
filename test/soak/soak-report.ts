import type {SoakCallers} from './soak-callers.ts';

/** What a soak did and saw; times in milliseconds since its start. */
export type SoakReport = {
	readonly seed: number;
	readonly lengthMs: number;
	/** Promises that did not hold. */
	readonly problems: readonly string[];
	readonly faults: ReadonlyArray<{readonly name: string; readonly at: number; readonly forMs: number}>;
	readonly records: SoakCallers['records'];
	/** Configurations that were accepted, and reads that were answered. */
	readonly changes: number;
	readonly reads: number;
	/** Logs and data of the processes, kept if something did not hold. */
	readonly folder: string;
};
