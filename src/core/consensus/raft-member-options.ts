import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusRecord} from './consensus-record.ts';
import type {MemberLimits} from './member-limits.ts';
import type {StateMachine} from './state-machine.ts';

/** Options of a `RaftMember`. */
export type RaftMemberOptions<Outcome> = {
	readonly self: NodeId;
	/** Identity of the data folder; a new folder has a new one. */
	readonly storageId: StorageId;
	/** Control nodes listed in the settings: they form the first configuration. A member that is not among them joins as a learner. */
	readonly initialMembers: readonly NodeId[];
	/**
	 * Whether this member may form the first group; false if it may have lost its data folder.
	 *
	 * @default true
	 */
	readonly mayBootstrap?: boolean;
	readonly loadedJournal: LoadedJournal<ConsensusRecord>;
	readonly state: StateMachine<Outcome>;
	readonly outbox: Outbox;
	readonly random: Random;
	/**
	 * Time at which the process started, on the clock of the steps. Contact with a leader before a restart was earlier.
	 *
	 * @default the first step that needs it
	 */
	readonly startedAt?: Millis;
	/** Overrides of `consensusLimits`. */
	readonly limits?: Partial<MemberLimits>;
};
