import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';
import {AppliedLog} from './applied-log.ts';
import {Bootstrap} from './bootstrap.ts';
import type {Consensus} from './consensus.ts';
import {consensusLimits} from './consensus-limits.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {ConsensusStatus} from './consensus-status.ts';
import {consensusTiming} from './consensus-timing.ts';
import {Election} from './election.ts';
import {GroupGate} from './group-gate.ts';
import type {GroupView} from './group-view.ts';
import {isVoter} from './is-voter.ts';
import {JoinRequests} from './join-requests.ts';
import {LogAcceptor} from './log-acceptor.ts';
import type {LogCommand} from './log-command.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {MemberContext} from './member-context.ts';
import {memberKey} from './member-key.ts';
import {memberRole} from './member-role.ts';
import {MemberStorage} from './member-storage.ts';
import {MembershipChanges} from './membership-changes.ts';
import type {RaftMemberOptions} from './raft-member-options.ts';
import {Replicator} from './replicator.ts';
import {SnapshotReceiver} from './snapshot-receiver.ts';

type Body = ConsensusMessage['body'];
type Greeting = Body & {type: 'hello' | 'hello-answer' | 'join-redirect'};

/** A member of the replicated log: Raft with pre-vote, leader lease, learners and snapshots. */
export class RaftMember<Outcome> implements Consensus<Outcome> {
	readonly #context: MemberContext;
	readonly #storage: MemberStorage;
	readonly #applied: AppliedLog<Outcome>;
	readonly #gate: GroupGate;
	readonly #joins: JoinRequests;
	readonly #bootstrap: Bootstrap;
	readonly #election: Election;
	readonly #acceptor: LogAcceptor;
	readonly #receiver: SnapshotReceiver;
	readonly #changes = new MembershipChanges();
	/** Set while this member leads. */
	#replicator: Replicator | undefined;
	#leader: NodeId | undefined;
	/** Index of this leader's first entry: once it is committed the leader knows all that is. */
	#firstIndex = 0;
	#problem: string | undefined;

	constructor(options: RaftMemberOptions<Outcome>) {
		const {self, storageId, initialMembers, mayFound = true, load, state, outbox, random} = options;
		const limits = {...consensusLimits, ...options.limits};
		this.#storage = new MemberStorage(load, outbox, limits);
		this.#context = {
			self: {nodeId: self, storageId},
			storage: this.#storage,
			outbox,
			limits,
			random,
			send: (to, body, storage) => {
				this.#send(to, body, storage);
			},
		};
		this.#applied = new AppliedLog(this.#storage, state);
		this.#bootstrap = new Bootstrap(this.#context, initialMembers, mayFound);
		this.#gate = new GroupGate(this.#storage, this.#bootstrap);
		this.#joins = new JoinRequests(this.#context, initialMembers);
		this.#acceptor = new LogAcceptor(this.#context);
		this.#receiver = new SnapshotReceiver(this.#context);
		this.#election = new Election(this.#context, now => {
			this.#lead(now);
		});
	}

	handle(from: NodeId, message: ConsensusMessage, now: Millis): void {
		const forAnother = message.to !== undefined && message.to !== this.#context.self.storageId;
		if (this.#problem !== undefined || forAnother) {
			return;
		}

		const {body} = message;
		if (body.type === 'hello' || body.type === 'hello-answer') {
			this.#bootstrap.greeted({nodeId: from, storageId: message.storageId}, body);
			return;
		}

		if (body.type === 'join-redirect') {
			this.#joins.redirected(body.leader);
			return;
		}

		if (this.#gate.admits(message)) {
			this.#dispatch({nodeId: from, storageId: message.storageId}, body, now);
		}
	}

	tick(now: Millis): void {
		if (this.#problem !== undefined) {
			return;
		}

		this.#bootstrap.tick(now);
		if (this.#replicator === undefined) {
			this.#forgetSilentLeader(now);
			this.#election.tick(now);
			this.#joinIfAlone(now);
		} else {
			this.#tickLeader(this.#replicator, now);
		}

		this.#storage.recordCommit(this.#applied.commit);
	}

	written(token: number, now: Millis): void {
		if (this.#problem === undefined) {
			this.#storage.writes.written(token);
			this.#advanceLeader(now);
		}
	}

	writeFailed(reason: string, now: Millis): void {
		this.#stepBack(now);
		this.#problem = reason;
		this.#context.outbox.log('consensus', `The journal cannot be written, this member takes no part: ${reason}`);
	}

	propose(command: LogCommand, now: Millis): number | undefined {
		const uncommitted = this.#storage.log.lastIndex - this.#applied.commit;
		if (!this.leads(now) || uncommitted >= this.#context.limits.uncommitted) {
			return undefined;
		}

		return this.#append({type: 'command', command}, now);
	}

	leads(now: Millis): boolean {
		return this.leaseUntil(now) !== undefined;
	}

	leaseUntil(now: Millis): Millis | undefined {
		if (this.#replicator === undefined || this.#applied.commit < this.#firstIndex) {
			return undefined;
		}

		const until = this.#replicator.majorityContact(now) + consensusTiming.leaseMs as Millis;
		return now < until ? until : undefined;
	}

	/**
	 * Time, on this member's clock, at which a majority still took it for the leader and its state held everything
	 * committed until then; undefined while it does not lead. A read that arrived earlier may be answered from the state.
	 */
	confirmedAt(now: Millis): Millis | undefined {
		const contact = this.#replicator?.majorityContact(now);
		return contact === undefined || this.#applied.commit < this.#firstIndex ? undefined : contact as Millis;
	}

	/** Index of the newest entry that is committed and applied here. */
	get commitIndex(): number {
		return this.#applied.commit;
	}

	/** Time since this member led or heard a leader, in milliseconds. */
	leaderSilence(now: Millis): number {
		return this.#replicator === undefined ? this.#election.silence(now) : 0;
	}

	/** What the leader knows of the group's members; undefined while this member does not lead with a valid lease. */
	group(now: Millis): GroupView | undefined {
		const {configuration, log} = this.#storage;
		if (this.#replicator === undefined || configuration === undefined || !this.leads(now)) {
			return undefined;
		}

		const silences = new Map(this.#replicator.peers().map(({member, heardAt}) => [memberKey(member), now - heardAt]));
		const near = this.#replicator.learners().filter(({match}) => match > 0 && log.lastIndex - match <= this.#context.limits.learnerLag);
		return {
			settled: !this.#configurationOpen(),
			wanted: configuration.wanted,
			voters: configuration.voters.map(voter => ({nodeId: voter.nodeId, silentMs: silences.get(memberKey(voter)) ?? 0})),
			standbys: near.map(({member}) => member.nodeId),
		};
	}

	leader(): NodeId | undefined {
		return this.#leader;
	}

	takeCommitted(): ReturnType<Consensus<Outcome>['takeCommitted']> {
		return this.#applied.take();
	}

	changeMembers(change: {type: 'add' | 'remove'; nodeId: NodeId}, now: Millis): boolean {
		const current = this.#storage.configuration;
		if (current === undefined || !this.leads(now) || this.#configurationOpen()) {
			return false;
		}

		const next = this.#changes.commanded(current, change);
		if (next === undefined) {
			return false;
		}

		this.#append({type: 'configuration', configuration: next}, now);
		return true;
	}

	status(): ConsensusStatus {
		const {log, configuration, term, snapshotIndex} = this.#storage;
		return {
			role: this.#role(),
			term,
			leader: this.#leader,
			commitIndex: this.#applied.commit,
			lastIndex: log.lastIndex,
			snapshotIndex,
			voters: configuration?.voters.map(voter => voter.nodeId) ?? [],
			learners: this.#replicator?.learners().map(({member}) => member.nodeId) ?? [],
			problem: this.#problem,
		};
	}

	#role(): ConsensusStatus['role'] {
		return memberRole({
			stopped: this.#problem !== undefined,
			leads: this.#replicator !== undefined,
			starting: this.#bootstrap.starting,
			votes: isVoter(this.#storage.configuration, this.#context.self),
			stands: this.#election.standing,
		});
	}

	#send(to: NodeId, body: Body, storageId: StorageId | undefined): void {
		const message: ConsensusMessage = {
			group: this.#gate.groupFor(body), storageId: this.#context.self.storageId, to: storageId, body,
		};
		this.#context.outbox.send(to, {part: 'consensus', body: message});
	}

	#dispatch(from: LogMember, body: Exclude<Body, Greeting>, now: Millis): void {
		if (!this.#followTerm(body, now)) {
			return;
		}

		switch (body.type) {
			case 'join': {
				this.#joinRequested(from, now);
				return;
			}

			case 'vote': {
				this.#election.requested(from, body, this.#leaderAlive(now), now);
				return;
			}

			case 'vote-answer': {
				this.#election.answered(from, body, now);
				return;
			}

			case 'append': {
				this.#appended(from, body, now);
				return;
			}

			case 'snapshot': {
				this.#snapshotSent(from, body, now);
				return;
			}

			case 'append-answer':
			case 'snapshot-answer': {
				this.#answered(from, body, now);
			}
		}
	}

	#joinRequested(from: LogMember, now: Millis): void {
		if (this.#replicator !== undefined) {
			this.#replicator.join(from, now);
		} else if (this.#leader !== undefined && this.#leader !== from.nodeId) {
			this.#send(from.nodeId, {type: 'join-redirect', leader: this.#leader}, from.storageId);
		}
	}

	/** Takes over a higher term; false for a message that must be ignored. */
	#followTerm(body: Body, now: Millis): boolean {
		if (!('term' in body) || body.term <= this.#storage.term) {
			return true;
		}

		const preVote = (body.type === 'vote' || body.type === 'vote-answer') && body.pre;
		if (preVote && (body.type === 'vote' || body.granted)) {
			return true;
		}

		// A vote asked for while a leader is alive must not disturb it.
		if (body.type === 'vote' && this.#leaderAlive(now)) {
			return false;
		}

		this.#stepBack(now);
		this.#storage.setVote(body.term, undefined);
		return true;
	}

	#forgetSilentLeader(now: Millis): void {
		if (this.#election.silence(now) > consensusTiming.electionMs) {
			this.#leader = undefined;
		}
	}

	#joinIfAlone(now: Millis): void {
		if (!this.#bootstrap.starting) {
			this.#joins.tick(this.#election.silence(now), now);
		}
	}

	#leaderAlive(now: Millis): boolean {
		if (this.#replicator !== undefined) {
			return !this.#replicator.quorumLost(now);
		}

		return this.#election.silence(now) < consensusTiming.electionMs;
	}

	#appended(from: LogMember, body: Body & {type: 'append'}, now: Millis): void {
		if (body.term < this.#storage.term) {
			this.#acceptor.refuse(from.nodeId, body);
			return;
		}

		this.#heardLeader(from.nodeId, now);
		const matched = this.#acceptor.accept(from.nodeId, body, this.#applied.commit);
		if (matched !== undefined) {
			this.#applied.advance(Math.min(body.commit, matched));
		}
	}

	#snapshotSent(from: LogMember, body: Body & {type: 'snapshot'}, now: Millis): void {
		if (body.term < this.#storage.term) {
			return;
		}

		this.#heardLeader(from.nodeId, now);
		if (body.index > this.#applied.commit) {
			const snapshot = this.#receiver.receive(from, body);
			if (snapshot === undefined) {
				return;
			}

			this.#applied.install(snapshot);
		}

		this.#receiver.acknowledge(from, body);
	}

	#answered(from: LogMember, body: Body & {type: 'append-answer' | 'snapshot-answer'}, now: Millis): void {
		if (this.#replicator === undefined || body.term !== this.#storage.term) {
			return;
		}

		if (body.type === 'append-answer') {
			this.#replicator.acknowledged(from, body, this.#applied.commit, now);
			this.#advanceLeader(now);
		} else {
			this.#replicator.snapshotAcknowledged(from, body, now);
		}
	}

	#heardLeader(nodeId: NodeId, now: Millis): void {
		this.#leader = nodeId;
		this.#election.heardLeader(now);
	}

	#lead(now: Millis): void {
		this.#context.outbox.log('consensus', `Leads term ${this.#storage.term}`);
		this.#leader = this.#context.self.nodeId;
		this.#replicator = new Replicator(this.#context, () => this.#applied.snapshot(), now);
		this.#replicator.tick(this.#applied.commit, now);
		this.#firstIndex = this.#append({type: 'command', command: {type: 'lead', nodeId: this.#context.self.nodeId}}, now);
	}

	#stepBack(now: Millis): void {
		if (this.#replicator !== undefined) {
			this.#context.outbox.log('consensus', `Leads no more, term ${this.#storage.term}`);
			this.#replicator = undefined;
		}

		this.#leader = undefined;
		this.#election.stop(now);
	}

	#append(content: LogEntry['content'], now: Millis): number {
		const {log, term} = this.#storage;
		const index = log.lastIndex + 1;
		this.#storage.append([{index, term, content}]);
		this.#replicator!.replicate(this.#applied.commit, now);
		return index;
	}

	#tickLeader(replicator: Replicator, now: Millis): void {
		if (replicator.quorumLost(now)) {
			this.#stepBack(now);
			return;
		}

		replicator.tick(this.#applied.commit, now);
		this.#changeConfiguration(replicator, now);
	}

	/** Commits what a majority has synced, if the newest of it is of this term. */
	#advanceLeader(now: Millis): void {
		const replicator = this.#replicator;
		if (replicator === undefined) {
			return;
		}

		const index = replicator.majorityMatch();
		if (index <= this.#applied.commit || this.#storage.log.term(index) !== this.#storage.term) {
			return;
		}

		this.#applied.advance(index);
		replicator.replicate(this.#applied.commit, now);
		const removed = !this.#configurationOpen() && !isVoter(this.#storage.configuration, this.#context.self);
		if (removed) {
			this.#stepBack(now);
		}
	}

	#changeConfiguration(replicator: Replicator, now: Millis): void {
		const current = this.#storage.configuration!;
		if (!this.leads(now) || this.#configurationOpen()) {
			return;
		}

		const {lastIndex} = this.#storage.log;
		const configuration = this.#changes.next(current, {learners: replicator.learners(), lastIndex, learnerLag: this.#context.limits.learnerLag});
		if (configuration !== undefined) {
			this.#append({type: 'configuration', configuration}, now);
			replicator.tick(this.#applied.commit, now);
		}
	}

	/** True while the newest configuration is not committed. */
	#configurationOpen(): boolean {
		return this.#storage.configurationIndex > this.#applied.commit;
	}
}
