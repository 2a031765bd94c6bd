import {JournalRecovery} from '../common/journal-recovery.ts';
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
import {Follower} from './follower.ts';
import {GroupFilter} from './group-filter.ts';
import type {GroupView} from './group-view.ts';
import {isVoter} from './is-voter.ts';
import {JoinRequests} from './join-requests.ts';
import {Leadership} from './leadership.ts';
import type {LogCommand} from './log-command.ts';
import type {LogEnd} from './log-end.ts';
import type {LogMember} from './log-member.ts';
import type {MemberChange} from './member-change.ts';
import type {MemberContext} from './member-context.ts';
import {memberRole} from './member-role.ts';
import {MemberStorage} from './member-storage.ts';
import type {RaftMemberOptions} from './raft-member-options.ts';
import {storageStatus} from './storage-status.ts';
import {WaitingLearners} from './waiting-learners.ts';

type Body = ConsensusMessage['body'];
type UngroupedMessage = Body & {type: 'hello' | 'hello-answer' | 'join-redirect'};

/** A member of the replicated log: Raft with pre-vote, leader lease, learners and snapshots. */
export class RaftMember<Outcome> implements Consensus<Outcome> {
	readonly #context: MemberContext;
	readonly #storage: MemberStorage;
	readonly #applied: AppliedLog<Outcome>;
	readonly #groupFilter: GroupFilter;
	readonly #joinRequests: JoinRequests;
	readonly #waitingLearners: WaitingLearners;
	readonly #bootstrap: Bootstrap;
	readonly #election: Election;
	readonly #follower: Follower<Outcome>;
	/** Set while this member leads. */
	#leadership: Leadership<Outcome> | undefined;
	#leader: NodeId | undefined;
	readonly #recovery = new JournalRecovery();
	/** Highest term of a leader heard while stopped. */
	#heardTerm = 0;

	constructor(options: RaftMemberOptions<Outcome>) {
		const {self, storageId, initialMembers, mayBootstrap = true, loadedJournal, state, outbox, random} = options;
		const limits = {...consensusLimits, ...options.limits};
		this.#storage = new MemberStorage(loadedJournal, outbox, limits);
		this.#context = {
			self: {nodeId: self, storageId},
			storage: this.#storage,
			outbox,
			limits,
			random,
			startedAt: options.startedAt,
			send: (to, body, receiverStorageId) => {
				this.#send(to, body, receiverStorageId);
			},
		};
		this.#applied = new AppliedLog(this.#storage, state);
		this.#bootstrap = new Bootstrap(this.#context, initialMembers, mayBootstrap);
		this.#groupFilter = new GroupFilter(this.#storage, this.#bootstrap);
		this.#joinRequests = new JoinRequests(this.#context, initialMembers);
		this.#waitingLearners = new WaitingLearners(this.#context);
		this.#follower = new Follower(this.#context, this.#applied);
		this.#election = new Election(this.#context, now => {
			this.#becomeLeader(now);
		});
	}

	handle(from: NodeId, message: ConsensusMessage, now: Millis): void {
		if (message.to !== undefined && message.to !== this.#context.self.storageId) {
			return;
		}

		if (this.#stopped) {
			this.#observeLeader(from, message, now);
			return;
		}

		const {body} = message;
		if (body.type === 'hello' || body.type === 'hello-answer') {
			this.#bootstrap.handleHello({nodeId: from, storageId: message.storageId}, body, now);
			return;
		}

		if (body.type === 'join-redirect') {
			this.#joinRequests.handleRedirect(body.leader);
			return;
		}

		if (this.#groupFilter.accepts(message)) {
			this.#dispatch({nodeId: from, storageId: message.storageId}, body, now);
		}
	}

	tick(now: Millis): void {
		this.#election.stepClock(now);
		if (this.#stopped) {
			this.#clearSilentLeader(now);
			this.#recovery.tick(() => this.#applied.rewrite(), now);
			return;
		}

		this.#bootstrap.tick(now);
		if (this.#leadership === undefined) {
			this.#clearSilentLeader(now);
			this.#election.tick(now);
			this.#requestJoin(now);
		} else if (this.#leadership.quorumLost(now)) {
			this.#stepDown(now);
		} else {
			this.#leadership.tick(now);
		}

		this.#storage.recordCommitIndex(this.#applied.commitIndex);
	}

	written(token: number, now: Millis): void {
		if (this.#recovery.written(token)) {
			this.#context.outbox.event('disk-regained', {journal: 'consensus'});
			// The leader, if there is one, is heard before the member asks for votes.
			this.#election.cancel(now);
		}

		if (!this.#stopped) {
			this.#storage.writes.written(token);
			this.#advanceCommit(now);
		}
	}

	writeFailed(reason: string, now: Millis): void {
		if (this.#recovery.failed(reason, now)) {
			this.#stepDown(now);
			this.#follower.loseTrack();
			this.#context.outbox.event('disk-failed', {journal: 'consensus', reason});
		}
	}

	propose(command: LogCommand, now: Millis): number | undefined {
		return this.#leadership?.propose(command, now);
	}

	leads(now: Millis): boolean {
		return this.leaseUntil(now) !== undefined;
	}

	leaseUntil(now: Millis): Millis | undefined {
		return this.#leadership?.leaseUntil(now);
	}

	/**
	 * Latest time, on this member's clock, at which a majority accepted it as leader and its state held everything
	 * committed by then; undefined unless it leads. A read that arrived earlier may be answered from the state.
	 */
	confirmedAt(now: Millis): Millis | undefined {
		return this.#leadership?.confirmedAt(now);
	}

	/** Index of the newest entry that is committed and applied here. */
	get commitIndex(): number {
		return this.#applied.commitIndex;
	}

	/** Commands in this member's log that are not known to be committed, in order. */
	uncommittedCommands(): readonly LogCommand[] {
		return this.#storage.log.slice(this.commitIndex + 1).flatMap(({content}) => content.type === 'command' ? [content.command] : []);
	}

	logEnd(): LogEnd {
		return this.#storage.logEnd(this.#context.self, this.#applied.commitIndex);
	}

	/** Milliseconds since the last contact with a leader; 0 while this member leads. */
	leaderSilence(now: Millis): number {
		return this.#leadership === undefined ? this.#election.leaderSilence(now) : 0;
	}

	/** Milliseconds for which the leader's commit index has been ahead of this member's; 0 if it is not, or while this member leads. Infinite from the loss of a leader or a failed write on, until this member has caught up. */
	lag(now: Millis): number {
		return this.#leadership === undefined ? this.#follower.lag(now) : 0;
	}

	/** The leader's view of the group; undefined unless this member leads with a valid lease. */
	groupView(now: Millis): GroupView | undefined {
		return this.#leadership?.groupView(now);
	}

	leader(): NodeId | undefined {
		return this.#leader;
	}

	takeCommitted(): ReturnType<Consensus<Outcome>['takeCommitted']> {
		return this.#applied.takeCommitted();
	}

	changeMembers(change: MemberChange, now: Millis): boolean {
		return this.#leadership?.changeMembers(change, now) ?? false;
	}

	status(): ConsensusStatus {
		const {configuration} = this.#storage;
		return {
			...storageStatus(this.#storage, this.#applied.commitIndex),
			role: memberRole({
				stopped: this.#stopped,
				isLeader: this.#leadership !== undefined,
				starting: this.#bootstrap.starting,
				isVoter: isVoter(configuration, this.#context.self),
				isCandidate: this.#election.isCandidate,
			}),
			leader: this.#leader,
			learners: this.#leadership?.learners.map(({member}) => member.nodeId) ?? [],
			problem: this.#recovery.reason,
		};
	}

	/** True from a failed journal write until the journal is rewritten: nothing that the member would answer is sure to be on disk. */
	get #stopped(): boolean {
		return this.#recovery.reason !== undefined;
	}

	#send(to: NodeId, body: Body, storageId: StorageId | undefined): void {
		const message: ConsensusMessage = {
			group: this.#groupFilter.groupFor(body), storageId: this.#context.self.storageId, to: storageId, body,
		};
		this.#context.outbox.send(to, {part: 'consensus', body: message});
	}

	#dispatch(from: LogMember, body: Exclude<Body, UngroupedMessage>, now: Millis): void {
		if (!this.#updateTerm(body, now)) {
			return;
		}

		switch (body.type) {
			case 'join': {
				this.#handleJoin(from, now);
				return;
			}

			case 'vote': {
				this.#election.handleVoteRequest(from, body, this.#leaderAlive(now), now);
				return;
			}

			case 'vote-answer': {
				this.#election.handleVoteAnswer(from, body, now);
				return;
			}

			case 'append': {
				this.#handleAppend(from, body, now);
				return;
			}

			case 'snapshot': {
				this.#handleSnapshot(from, body, now);
				return;
			}

			case 'append-answer':
			case 'snapshot-answer': {
				this.#handleAnswer(from, body, now);
			}
		}
	}

	#handleJoin(from: LogMember, now: Millis): void {
		if (this.#leadership !== undefined) {
			this.#leadership.handleJoin(from, now);
			return;
		}

		// The leader that is known here may have gone a moment ago.
		this.#waitingLearners.add(from, now);
		if (this.#leader !== undefined) {
			this.#waitingLearners.redirect(from, this.#leader);
		}
	}

	/** Adopts a higher term and steps down; returns false if the message must be ignored. */
	#updateTerm(body: Body, now: Millis): boolean {
		if (!('term' in body) || body.term <= this.#storage.term) {
			return true;
		}

		// A pre-vote request, or the grant of one, names the next term, which no member has adopted yet.
		const preVote = (body.type === 'vote' || body.type === 'vote-answer') && body.pre;
		if (preVote && (body.type === 'vote' || body.granted)) {
			return true;
		}

		// A vote request must not depose a leader that is alive.
		if (body.type === 'vote' && this.#leaderAlive(now)) {
			return false;
		}

		this.#stepDown(now);
		this.#storage.setVote(body.term, undefined);
		return true;
	}

	#clearSilentLeader(now: Millis): void {
		if (this.#election.awakeLeaderSilence(now) > consensusTiming.electionTimeoutMs) {
			this.#leader = undefined;
		}
	}

	#requestJoin(now: Millis): void {
		if (!this.#bootstrap.starting) {
			this.#joinRequests.tick(this.#election.awakeLeaderSilence(now), now);
		}
	}

	#leaderAlive(now: Millis): boolean {
		if (this.#leadership !== undefined) {
			return !this.#leadership.quorumLost(now);
		}

		return this.#election.awakeLeaderSilence(now) < consensusTiming.electionTimeoutMs;
	}

	#handleAppend(from: LogMember, body: Body & {type: 'append'}, now: Millis): void {
		if (body.term < this.#storage.term) {
			this.#follower.refuse(from.nodeId, body);
			return;
		}

		this.#recordLeaderContact(from.nodeId, now);
		this.#follower.append(from.nodeId, body, now);
	}

	#handleSnapshot(from: LogMember, body: Body & {type: 'snapshot'}, now: Millis): void {
		if (body.term >= this.#storage.term) {
			this.#recordLeaderContact(from.nodeId, now);
			this.#follower.install(from, body);
		}
	}

	#handleAnswer(from: LogMember, body: Body & {type: 'append-answer' | 'snapshot-answer'}, now: Millis): void {
		if (this.#leadership === undefined || body.term !== this.#storage.term) {
			return;
		}

		this.#leadership.handleAnswer(from, body, now);
		if (body.type === 'append-answer') {
			this.#advanceCommit(now);
		}
	}

	/** Notes who leads while the member is stopped, so that calls can be passed on; answers nothing and changes nothing on disk. */
	#observeLeader(from: NodeId, {group, body}: ConsensusMessage, now: Millis): void {
		if (body.type === 'append' && group !== '' && group === this.#storage.group && body.term >= Math.max(this.#heardTerm, this.#storage.term)) {
			this.#heardTerm = body.term;
			this.#recordLeaderContact(from, now);
		}
	}

	#recordLeaderContact(nodeId: NodeId, now: Millis): void {
		const isNew = this.#leader !== nodeId;
		this.#leader = nodeId;
		this.#election.heardLeader(now);
		if (isNew) {
			this.#follower.loseTrack();
			this.#waitingLearners.redirectAll(nodeId, now);
		}
	}

	#becomeLeader(now: Millis): void {
		this.#context.outbox.log('consensus', `Became leader of term ${this.#storage.term}`);
		this.#leader = this.#context.self.nodeId;
		this.#leadership = new Leadership({context: this.#context, applied: this.#applied, now});
		for (const member of this.#waitingLearners.take(now)) {
			this.#leadership.handleJoin(member, now);
		}
	}

	#stepDown(now: Millis): void {
		if (this.#leadership !== undefined) {
			this.#context.outbox.log('consensus', `Stepped down as leader of term ${this.#storage.term}`);
			this.#leadership = undefined;
		}

		this.#leader = undefined;
		this.#election.cancel(now);
	}

	#advanceCommit(now: Millis): void {
		if (this.#leadership?.advanceCommit(now) === false) {
			this.#stepDown(now);
		}
	}
}
