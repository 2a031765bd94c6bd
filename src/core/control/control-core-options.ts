import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {Zone} from '../ids/zone.ts';
import type {StateMemory} from '../memory/state-memory.ts';
import type {ParseDocument} from '../routes/parse-document.ts';

/** Dependencies and settings of a control node's core. */
export type ControlCoreOptions = {
	readonly self: {readonly nodeId: NodeId; readonly region: Region; readonly operatorAddress: string};
	/** Control nodes listed in the settings. */
	readonly seeds: readonly NodeId[];
	/** True only at the first start of the whole deployment, when the seeds create the replicated log. */
	readonly firstStart: boolean;
	readonly zones: ReadonlyMap<Zone, Region>;
	/** Number of disks that may be lost at the same time without the loss of an accepted change. */
	readonly toleratedLosses: number;
	/** Interval of a target's reports, in milliseconds. */
	readonly reportEveryMs: number;
	/** Owner of the state that is kept for clients. @default one with the default bounds */
	readonly state?: StateMemory;
	readonly parseDocument: ParseDocument;
	readonly random: Random;
	/** Time at which the process started, on the clock of the steps. @default the first step */
	readonly startedAt?: Millis;
	/** Identifies this run of the process. */
	readonly epoch: string;
	readonly storage: {readonly storageId: StorageId; readonly consensus: LoadedJournal<unknown>};
};
