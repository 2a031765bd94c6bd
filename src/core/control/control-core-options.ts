import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Random} from '../common/random.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {Zone} from '../ids/zone.ts';

/** What a control node's core is made from. */
export type ControlCoreOptions = {
	readonly self: {readonly nodeId: NodeId; readonly region: Region; readonly operatorAddress: string};
	/** Control nodes that the settings name. */
	readonly seeds: readonly NodeId[];
	/** True only at the first start of the whole deployment: the seeds then found the replicated log. */
	readonly firstStart: boolean;
	readonly zones: ReadonlyMap<Zone, Region>;
	/** Disks that may be lost at the same time. */
	readonly toleratedLosses: number;
	/** Time between two reports of a target, in milliseconds. */
	readonly reportEveryMs: number;
	readonly random: Random;
	/** Names this run of the process. */
	readonly epoch: string;
	readonly storage: {readonly storageId: StorageId; readonly consensus: LoadedJournal<unknown>};
};
