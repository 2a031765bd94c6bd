import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusRecord} from './consensus-record.ts';
import type {MemberLimits} from './member-limits.ts';
import type {StateMachine} from './state-machine.ts';

/** How a member of the replicated log is made. */
export type RaftMemberOptions<Outcome> = {
	readonly self: NodeId;
	/** Identity of the data folder; made anew with the folder. */
	readonly storageId: StorageId;
	/** Control nodes of the installation, this one included: they form the first configuration. */
	readonly initialMembers: readonly NodeId[];
	/**
	 * False for a member that must not found the group, since it may have lost its folder.
	 *
	 * @default true
	 */
	readonly mayBootstrap?: boolean;
	readonly load: LoadedJournal<ConsensusRecord>;
	readonly state: StateMachine<Outcome>;
	readonly outbox: Outbox;
	readonly random: Random;
	/** Bounds that differ from the default ones. */
	readonly limits?: Partial<MemberLimits>;
};
