import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {MemberLimits} from './member-limits.ts';
import type {LogMember} from './log-member.ts';
import type {MemberStorage} from './member-storage.ts';

/** Dependencies that the parts of one member share. */
export type MemberContext = {
	readonly self: LogMember;
	readonly storage: MemberStorage;
	readonly outbox: Outbox;
	readonly limits: MemberLimits;
	readonly random: Random;
	/** Time at which the process started, if it is known. */
	readonly startedAt?: Millis;
	/** Sends a message to a member; one whose data folder is not `storageId`, if given, ignores it. */
	readonly send: (to: NodeId, body: ConsensusMessage['body'], storageId?: StorageId) => void;
};
