import type {Millis} from '../ids/millis.ts';
import type {AppliedLog} from './applied-log.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {GroupView} from './group-view.ts';
import {hasCaughtUp} from './has-caught-up.ts';
import {isVoter} from './is-voter.ts';
import type {LogCommand} from './log-command.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {MemberChange} from './member-change.ts';
import type {MemberContext} from './member-context.ts';
import {memberKey} from './member-key.ts';
import {MembershipChanges} from './membership-changes.ts';
import type {ReplicationProgress} from './replication-progress.ts';
import {Replicator} from './replicator.ts';

type Answer = ConsensusMessage['body'] & {type: 'append-answer' | 'snapshot-answer'};

type LeadershipOptions<Outcome> = {
	readonly context: MemberContext;
	readonly applied: AppliedLog<Outcome>;
	readonly now: Millis;
};

/** A member's work as leader in one term: appends, replicates and commits entries, and changes the group's members. */
export class Leadership<Outcome> {
	readonly #context: MemberContext;
	readonly #applied: AppliedLog<Outcome>;
	readonly #replicator: Replicator;
	readonly #membershipChanges = new MembershipChanges();
	/** Index of this leader's first entry: only its commit shows which entries of earlier terms are committed. */
	readonly #firstIndex: number;

	constructor({context, applied, now}: LeadershipOptions<Outcome>) {
		this.#context = context;
		this.#applied = applied;
		this.#replicator = new Replicator(context, () => applied.snapshot(), now);
		this.#replicator.tick(applied.commitIndex, now);
		this.#firstIndex = this.#append({type: 'command', command: {type: 'lead', nodeId: context.self.nodeId}}, now);
	}

	get learners(): ReturnType<Replicator['learners']> {
		return this.#replicator.learners();
	}

	/** End of the lease, until which no other member can lead; undefined if it has expired or the first entry is not committed. */
	leaseUntil(now: Millis): Millis | undefined {
		if (this.#applied.commitIndex < this.#firstIndex) {
			return undefined;
		}

		const until = this.#replicator.majorityContact(now) + consensusTiming.leaseMs as Millis;
		return now < until ? until : undefined;
	}

	/**
	 * Latest time at which a majority still accepted this member as leader; undefined until its first entry is
	 * committed, since its state may lack entries of earlier terms that are committed.
	 */
	confirmedAt(now: Millis): Millis | undefined {
		return this.#applied.commitIndex < this.#firstIndex ? undefined : this.#replicator.majorityContact(now) as Millis;
	}

	quorumLost(now: Millis): boolean {
		return this.#replicator.quorumLost(now);
	}

	/** Appends a command and returns its index; undefined without a valid lease or with too many uncommitted entries. */
	propose(command: LogCommand, now: Millis): number | undefined {
		const {limits, storage: {log}} = this.#context;
		const {commitIndex} = this.#applied;
		const isFull = log.lastIndex - commitIndex >= limits.uncommitted || log.size(commitIndex, log.lastIndex) >= limits.uncommittedBytes;
		if (this.leaseUntil(now) === undefined || isFull) {
			return undefined;
		}

		return this.#append({type: 'command', command}, now);
	}

	changeMembers(change: MemberChange, now: Millis): boolean {
		const current = this.#context.storage.configuration;
		if (current === undefined || this.leaseUntil(now) === undefined || this.#configurationPending()) {
			return false;
		}

		if (change.type === 'replace' && !this.#replicator.hearsMajority(now)) {
			return false;
		}

		const next = this.#membershipChanges.applyRequest(current, change, this.#replicationProgress(now));
		if (next === undefined) {
			return false;
		}

		this.#append({type: 'configuration', configuration: next}, now);
		return true;
	}

	/** The leader's view of the group; undefined without a valid lease. */
	groupView(now: Millis): GroupView | undefined {
		const {storage: {configuration, log}, limits} = this.#context;
		if (configuration === undefined || this.leaseUntil(now) === undefined) {
			return undefined;
		}

		const peers = new Map(this.#replicator.peers().map(peer => [memberKey(peer.member), peer]));
		return {
			configurationCommitted: !this.#configurationPending(),
			wanted: configuration.wanted,
			voters: configuration.voters.map(voter => {
				const {heardAt = now, answeredAt = now} = peers.get(memberKey(voter)) ?? {};
				return {nodeId: voter.nodeId, silentMs: now - heardAt, hasAnswered: answeredAt > Number.NEGATIVE_INFINITY};
			}),
			learners: this.learners.map(({member, answeredAt, matchIndex}) => ({
				nodeId: member.nodeId, silentMs: now - answeredAt, caughtUp: hasCaughtUp(matchIndex, log.lastIndex, limits.learnerLag),
			})),
		};
	}

	handleJoin(from: LogMember, now: Millis): void {
		this.#replicator.handleJoin(from, now);
	}

	handleAnswer(from: LogMember, body: Answer, now: Millis): void {
		if (body.type === 'append-answer') {
			this.#replicator.handleAppendAnswer(from, body, this.#applied.commitIndex, now);
		} else {
			this.#replicator.handleSnapshotAnswer(from, body, now);
		}
	}

	tick(now: Millis): void {
		this.#replicator.tick(this.#applied.commitIndex, now);
		this.#changeConfiguration(now);
	}

	/**
	 * Commits the entries that a majority has synced, if the last of them is of this term: an earlier term's entry
	 * may still be replaced. Returns false once the leader has removed itself from the group.
	 */
	advanceCommit(now: Millis): boolean {
		const {storage, self} = this.#context;
		const index = this.#replicator.majorityMatch();
		if (index <= this.#applied.commitIndex || storage.log.term(index) !== storage.term) {
			return true;
		}

		this.#applied.advance(index);
		this.#replicator.replicate(this.#applied.commitIndex, now);
		return this.#configurationPending() || isVoter(storage.configuration, self);
	}

	#append(content: LogEntry['content'], now: Millis): number {
		const {storage} = this.#context;
		const index = storage.log.lastIndex + 1;
		storage.append([{index, term: storage.term, content}]);
		this.#replicator.replicate(this.#applied.commitIndex, now);
		return index;
	}

	#changeConfiguration(now: Millis): void {
		const {storage} = this.#context;
		if (this.leaseUntil(now) === undefined || this.#configurationPending()) {
			return;
		}

		const configuration = this.#membershipChanges.next(storage.configuration!, this.#replicationProgress(now));
		if (configuration !== undefined) {
			this.#append({type: 'configuration', configuration}, now);
			this.#replicator.tick(this.#applied.commitIndex, now);
		}
	}

	#replicationProgress(now: Millis): ReplicationProgress {
		const {storage, limits} = this.#context;
		const learners = this.learners.filter(({answeredAt}) => now - answeredAt <= consensusTiming.silentMs);
		return {learners, lastIndex: storage.log.lastIndex, learnerLag: limits.learnerLag};
	}

	/** True while the newest configuration is not committed. */
	#configurationPending(): boolean {
		return this.#context.storage.configurationIndex > this.#applied.commitIndex;
	}
}
