import type {LoadedJournal} from './common/loaded-journal.ts';
import type {Random} from './common/random.ts';
import type {Millis} from './ids/millis.ts';
import type {NodeId} from './ids/node-id.ts';
import type {StorageId} from './ids/storage-id.ts';
import type {NodeInfo} from './membership/node-info.ts';

/** What a node's core is made from. */
export type GatewayCoreOptions = {
	readonly self: NodeInfo;
	/** Nodes that the settings file names; their addresses win over learnt ones. */
	readonly seeds: readonly NodeInfo[];
	/** Initial members of the replicated log. */
	readonly controlMembers: readonly NodeId[];
	readonly random: Random;
	/** Time of the start, on the clock of all later events. */
	readonly startedAt: Millis;
	/** What was read back from the data folder; absent on a process without one. */
	readonly storage?: {
		readonly storageId: StorageId;
		readonly consensus: LoadedJournal<unknown>;
		readonly ledger: LoadedJournal<unknown>;
	};
};
