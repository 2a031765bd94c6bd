import type {QuotaBounds} from '../organisations/quota/quota-bounds.ts';
import type {Random} from '../common/random.ts';
import type {EntryAddress} from '../ids/entry-address.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';
import type {StateMemory} from '../memory/state-memory.ts';
import type {ParseDocument} from '../routes/parse-document.ts';

/** Options of an entry's core. */
export type EdgeCoreOptions = {
	readonly self: {
		readonly nodeId: NodeId;
		readonly region: Region;
		readonly zone: Zone;
		readonly address: EntryAddress;
		readonly relayAddress: string;
		readonly weight: number;
	};
	/** Control nodes that the settings name. */
	readonly seeds: readonly NodeId[];
	/** Bound on the retries of each service over all entries: `ratio` retries for each request, and `slack` further ones in each window of `windowMs`. */
	readonly repeats: {readonly ratio: number; readonly slack: number; readonly windowMs: number};
	/** Interval between two reports of a target, in milliseconds. @default 1000 */
	readonly reportEveryMs?: number;
	/** Longest pause that a target may ask for, in milliseconds; longer ones are ignored. @default 300000 */
	readonly maxTargetPauseMs?: number;
	/** Tolerance of the organisations' quotas; without it they are not enforced. */
	readonly quotas?: QuotaBounds;
	/** Owner of the state that is kept for callers. @default one with the default bounds */
	readonly state?: StateMemory;
	readonly parseDocument: ParseDocument;
	readonly random: Random;
};
