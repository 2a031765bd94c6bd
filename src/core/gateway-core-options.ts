import type {LoadedJournal} from './common/loaded-journal.ts';
import type {Random} from './common/random.ts';
import type {Millis} from './ids/millis.ts';
import type {NodeId} from './ids/node-id.ts';
import type {StorageId} from './ids/storage-id.ts';
import type {NodeInfo} from './membership/node-info.ts';
import type {StateMemory} from './memory/state-memory.ts';

/** Constructor options of `GatewayCore`. */
export type GatewayCoreOptions = {
	readonly self: NodeInfo;
	/** Nodes named in the settings file; these addresses take precedence over gossiped ones. */
	readonly seeds: readonly NodeInfo[];
	/** Initial members of the replicated log. */
	readonly controlMembers: readonly NodeId[];
	readonly random: Random;
	/** Owner of the state that is kept for callers. @default one with the default bounds */
	readonly state?: StateMemory;
	/** Start time, on the clock of the later events. */
	readonly startedAt: Millis;
	/** Contents of the data folder at start; absent on a process without one. */
	readonly storage?: {
		readonly storageId: StorageId;
		readonly consensus: LoadedJournal<unknown>;
		readonly ledger: LoadedJournal<unknown>;
	};
};
