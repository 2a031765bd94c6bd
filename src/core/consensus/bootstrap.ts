import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {MemberContext} from './member-context.ts';

type HelloMessage = ConsensusMessage['body'] & {type: 'hello' | 'hello-answer'};

type HelloAnswer = {readonly storageId: StorageId; readonly empty: boolean; readonly promised: string};

/**
 * Start of a member with an empty data folder. The initial member with the lowest node id forms the first
 * configuration, but only if all others answer that they are empty too and promise to join its group.
 */
export class Bootstrap {
	readonly #context: MemberContext;
	readonly #initialMembers: readonly NodeId[];
	readonly #answers = new Map<NodeId, HelloAnswer>();
	#nextHelloAt = 0;
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

	/** Queries the other initial members at intervals; returns true once it has formed the first configuration. */
	tick(now: Millis): boolean {
		if (!this.starting) {
			return false;
		}

		if (this.#canFormGroup()) {
			this.#formGroup();
			return true;
		}

		if (now >= this.#nextHelloAt) {
			this.#nextHelloAt = now + consensusTiming.helloIntervalMs;
			this.#sendHellos();
		}

		return false;
	}

	/** Handles another member's `hello`, or its answer to one. */
	handleHello(from: LogMember, body: HelloMessage): void {
		if (body.type === 'hello') {
			this.#answerHello(from.nodeId, body.propose);
			return;
		}

		const {empty, promised} = body;
		this.#answers.set(from.nodeId, {storageId: from.storageId, empty, promised});
		this.#historySeen ||= !empty;
	}

	/** Answers a starting member; a member that is starting itself promises to join the proposed group. */
	#answerHello(from: NodeId, propose: string | undefined): void {
		const {storage, send} = this.#context;
		if (this.starting && propose !== undefined && propose !== storage.group) {
			storage.setGroup(propose);
		}

		storage.writes.whenSynced(() => {
			send(from, {type: 'hello-answer', empty: storage.empty, promised: storage.group});
		});
	}

	#sendHellos(): void {
		const {self, send, storage} = this.#context;
		const propose = storage.founder && this.#isLowest() ? self.storageId : undefined;
		for (const nodeId of this.#others()) {
			send(nodeId, {type: 'hello', propose});
		}
	}

	#canFormGroup(): boolean {
		if (!this.#context.storage.founder || !this.#isLowest()) {
			return false;
		}

		return this.#others().every(nodeId => {
			const answer = this.#answers.get(nodeId);
			return answer?.empty && answer.promised === this.#context.self.storageId;
		});
	}

	#formGroup(): void {
		const {self, storage} = this.#context;
		const others = this.#others().map(nodeId => ({nodeId, storageId: this.#answers.get(nodeId)!.storageId}));
		const first: LogEntry = {
			index: 1,
			term: 1,
			content: {type: 'configuration', configuration: {voters: [self, ...others], wanted: this.#initialMembers}},
		};
		storage.setGroup(self.storageId);
		storage.setVote(1, undefined);
		storage.append([first]);
	}

	#isLowest(): boolean {
		return this.#initialMembers[0] === this.#context.self.nodeId;
	}

	#others(): readonly NodeId[] {
		return this.#initialMembers.filter(nodeId => nodeId !== this.#context.self.nodeId);
	}
}
