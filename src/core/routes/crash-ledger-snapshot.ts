import type {CrashId} from '../ids/crash-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {CrashReport} from './crash-report.ts';

/** Snapshot of the crash ledger, as plain data. */
export type CrashLedgerSnapshot = {
	/** Log index of the newest change of the suspects. */
	readonly index: number;
	readonly traits: ReadonlyArray<{readonly trait: RequestTrait; readonly blamed: readonly CrashId[]; readonly cleared: readonly CrashId[]; readonly trials: number}>;
	readonly crashes: ReadonlyArray<Omit<CrashReport, 'traits'>>;
};
