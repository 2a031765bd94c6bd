import type {CrashLedgerSnapshot} from './crash-ledger-snapshot.ts';
import type {StoredDocument} from './stored-document.ts';
import type {ZoneEvacuation} from './zone-evacuation.ts';

/** Snapshot of the routes state, as plain data. */
export type RoutesSnapshot = {
	/** Log index of the newest change. */
	readonly index: number;
	readonly document?: StoredDocument;
	readonly evacuations: readonly ZoneEvacuation[];
	/** Absent in snapshots of versions that kept no crashes. */
	readonly crashes?: CrashLedgerSnapshot;
};
