import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {MemberContext} from './member-context.ts';
import {memberKey} from './member-key.ts';

type HelloMessage = ConsensusMessage['body'] & {type: 'hello' | 'hello-answer'};

type HelloAnswer = Omit<ConsensusMessage['body'] & {type: 'hello-answer'}, 'type'> & {readonly storageId: StorageId};

/**
 * Start of a member with an empty data folder. One initial member forms the first configuration: the lowest node id
 * among those that were started with a new installation. It proposes a group with its voters, and forms it once all
 * others answer that they are empty too and promise to join it with these voters.
 *
 * Its data folder may be lost before any other member has the configuration. The group is then completed by another
 * of its voters: the promises of a majority show that no other configuration can be formed under its name, so that it
 * does no harm if the group had been formed already. If the group cannot have been formed, the next initial member
 * proposes one of its own.
 */
export class Bootstrap {
	readonly #context: MemberContext;
	readonly #initialMembers: readonly NodeId[];
	readonly #answers = new Map<NodeId, HelloAnswer>();
	/** Data folder of each other member, and whether it may form a group, as it said last. */
	readonly #identities = new Map<NodeId, string>();
	#nextHelloAt = 0;
	#sentProposal: string | undefined;
	/** Time at which the member that proposed the promised group was heard last, or at which this process began to wait for it. */
	#proposerHeardAt: Millis | undefined;
	#historySeen = false;

	constructor(context: MemberContext, initialMembers: readonly NodeId[], mayBootstrap: boolean) {
		this.#context = context;
		this.#initialMembers = [...initialMembers].sort();
		if (mayBootstrap && context.storage.empty && !context.storage.founder) {
			context.storage.setFounder();
		}
	}

	/** True once another member has reported a non-empty log: this member then joins its group as a learner. */
	get historySeen(): boolean {
		return this.#historySeen;
	}

	/** True while the log is empty and no other member has reported a non-empty one. */
	get starting(): boolean {
		return this.#context.storage.empty && !this.#historySeen;
	}

	/** Queries the other initial members at intervals, and forms or completes the first configuration once it may. */
	tick(now: Millis): void {
		const {storage, self} = this.#context;
		if (!storage.empty) {
			return;
		}

		this.#proposerHeardAt ??= now;
		const voters = this.#proposedVoters();
		if (voters !== undefined && this.#isPromised(voters)) {
			storage.setGroup(self.storageId);
			this.#form(voters);
			return;
		}

		if (this.#mayComplete(now)) {
			this.#form(storage.promisedVoters!);
			return;
		}

		const proposal = voters && votersKey(voters);
		if (now >= this.#nextHelloAt || proposal !== this.#sentProposal) {
			this.#nextHelloAt = now + consensusTiming.helloIntervalMs;
			this.#sentProposal = proposal;
			this.#sendHellos(voters);
		}
	}

	/** Handles another member's `hello`, or its answer to one. */
	handleHello(from: LogMember, body: HelloMessage, now: Millis): void {
		if (from.storageId === this.#context.storage.group) {
			this.#proposerHeardAt = now;
		}

		if (body.type === 'hello') {
			this.#answerHello(from.nodeId, body);
			return;
		}

		this.#recordIdentity(from, body.founder);
		this.#answers.set(from.nodeId, {...body, storageId: from.storageId});
		this.#historySeen ||= !body.empty;
	}

	/** Forgets what members answered before one of them was known to be another than before, or to have lost its right to form a group: their promises may have come later. */
	#recordIdentity({nodeId, storageId}: LogMember, founder: boolean | undefined): void {
		const identity = `${storageId} ${founder}`;
		const known = this.#identities.get(nodeId);
		if (known !== identity && (known !== undefined || founder === false)) {
			this.#answers.clear();
		}

		this.#identities.set(nodeId, identity);
	}

	/** Answers a starting member; a member that is starting itself promises to join the proposed group. */
	#answerHello(from: NodeId, {propose, voters}: ConsensusMessage['body'] & {type: 'hello'}): void {
		const {storage, send, self} = this.#context;
		const isVoter = voters?.some(voter => memberKey(voter) === memberKey(self)) ?? true;
		if (this.starting && propose !== undefined && isVoter) {
			const isNewGroup = propose !== storage.group;
			const hasNewVoters = voters !== undefined && votersKey(voters) !== promiseKey(storage.promisedVoters);
			if (isNewGroup || hasNewVoters) {
				storage.setGroup(propose, voters);
			}
		}

		storage.writes.whenSynced(() => {
			send(from, {
				type: 'hello-answer', empty: storage.empty, promised: storage.group, promisedVoters: promiseKey(storage.promisedVoters), founder: storage.founder,
			});
		});
	}

	#sendHellos(voters: readonly LogMember[] | undefined): void {
		const {self, send} = this.#context;
		const propose = this.#mayPropose() ? self.storageId : undefined;
		for (const nodeId of this.#others()) {
			send(nodeId, {type: 'hello', propose, voters});
		}
	}

	/** True if this member may propose a group of its own: all lower ones have lost their right to, and the group that it has promised to join cannot have been formed. */
	#mayPropose(): boolean {
		const {storage, self} = this.#context;
		const lower = this.#others().filter(nodeId => nodeId < self.nodeId);
		if (!this.starting || !storage.founder || !this.#initialMembers.includes(self.nodeId) || lower.some(nodeId => this.#answers.get(nodeId)?.founder !== false)) {
			return false;
		}

		const {group, promisedVoters} = storage;
		return promisedVoters === undefined || group === self.storageId || promisedVoters.some(voter => {
			const answer = this.#answers.get(voter.nodeId);
			return voter.storageId !== group && answer?.storageId === voter.storageId && answer.empty && !holdsPromise(answer, group, promisedVoters);
		});
	}

	/** Voters of the group that this member proposes; undefined if it proposes none, or until all others have answered. */
	#proposedVoters(): readonly LogMember[] | undefined {
		const {self} = this.#context;
		const others = this.#others().map(nodeId => ({nodeId, storageId: this.#answers.get(nodeId)?.storageId}));
		return this.#mayPropose() && others.every((other): other is LogMember => other.storageId !== undefined) ? [self, ...others] : undefined;
	}

	/** True if all others are empty and have promised to join the group that this member proposes. */
	#isPromised(voters: readonly LogMember[]): boolean {
		const {self} = this.#context;
		return this.#others().every(nodeId => {
			const answer = this.#answers.get(nodeId)!;
			// An older build names no voters in its answer.
			const isOlder = answer.promisedVoters === undefined && answer.promised === self.storageId;
			return answer.empty && (isOlder || holdsPromise(answer, self.storageId, voters));
		});
	}

	/** True if this member should form the promised group in place of the one that proposed it, which is lost or silent. */
	#mayComplete(now: Millis): boolean {
		const {storage: {group, promisedVoters}, self} = this.#context;
		const proposer = promisedVoters?.find(({storageId}) => storageId === group);
		if (promisedVoters === undefined || proposer === undefined || memberKey(proposer) === memberKey(self)) {
			return false;
		}

		const proposerAnswer = this.#answers.get(proposer.nodeId);
		const isLost = proposerAnswer !== undefined && proposerAnswer.storageId !== proposer.storageId;
		const isSilent = now - this.#proposerHeardAt! > consensusTiming.proposerTimeoutMs;
		const holders = promisedVoters.filter(voter => {
			const answer = this.#answers.get(voter.nodeId);
			return answer?.storageId === voter.storageId && answer.empty && holdsPromise(answer, group, promisedVoters);
		});
		return (isLost || isSilent) && 2 * (holders.length + 1) > promisedVoters.length && holders.every(({nodeId}) => self.nodeId < nodeId);
	}

	#form(voters: readonly LogMember[]): void {
		const {storage} = this.#context;
		const first: LogEntry = {
			index: 1,
			term: 1,
			content: {type: 'configuration', configuration: {voters, wanted: voters.map(({nodeId}) => nodeId).toSorted()}},
		};
		storage.setVote(1, undefined);
		storage.append([first]);
	}

	#others(): readonly NodeId[] {
		return this.#initialMembers.filter(nodeId => nodeId !== this.#context.self.nodeId);
	}
}

/** True if a member has promised to join a group with these voters. */
function holdsPromise({promised, promisedVoters}: HelloAnswer, group: string, voters: readonly LogMember[]): boolean {
	return promised === group && promisedVoters === votersKey(voters);
}

function votersKey(voters: readonly LogMember[]): string {
	return voters.map(voter => memberKey(voter)).toSorted().join(' ');
}

/** Names the voters of a promised group; empty for a promise without voters. */
function promiseKey(voters: readonly LogMember[] | undefined): string {
	return voters === undefined ? '' : votersKey(voters);
}
