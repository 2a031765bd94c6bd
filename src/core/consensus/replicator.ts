import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import {consensusTiming} from './consensus-timing.ts';
import {isVoter} from './is-voter.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import {majorityValue} from './majority-value.ts';
import type {MemberContext} from './member-context.ts';
import {memberKey} from './member-key.ts';
import type {PeerProgress} from './peer-progress.ts';
import {SnapshotSender} from './snapshot-sender.ts';
import {votingSets} from './voting-sets.ts';

type AppendAnswer = ConsensusMessage['body'] & {type: 'append-answer'};
type SnapshotAnswer = ConsensusMessage['body'] & {type: 'snapshot-answer'};

/** Replicates the leader's log to the other members during one term, and finds what a majority has synced. */
export class Replicator {
	readonly #context: MemberContext;
	readonly #snapshots: SnapshotSender;
	readonly #peers = new Map<string, PeerProgress>();
	readonly #electedAt: Millis;
	readonly #awake = new AwakeClock();
	/** Latest standstills of this process, with the times at which they were noticed. */
	#standstills: ReadonlyArray<{readonly endedAt: Millis; readonly lostMs: number}> = [];
	#commitIndex = 0;

	constructor(context: MemberContext, takeSnapshot: () => LogSnapshot, now: Millis) {
		this.#context = context;
		this.#snapshots = new SnapshotSender(context, takeSnapshot);
		this.#electedAt = now;
	}

	peers(): readonly PeerProgress[] {
		return [...this.#peers.values()];
	}

	/** Members without a vote; if a node returned with another data folder, only the one heard from last. */
	learners(): readonly PeerProgress[] {
		const {configuration} = this.#context.storage;
		return this.peers().filter(peer => !isVoter(configuration, peer.member) && !this.#isSuperseded(peer));
	}

	/** Starts replication to a member that asks to be brought up to date. */
	handleJoin(member: LogMember, now: Millis): void {
		const peer = this.#peers.get(memberKey(member)) ?? this.#add(member, now);
		peer.heardAt = now;
		this.#sendTo(peer, now, true);
	}

	/** Sends new entries and the commit index to the members that answer. */
	replicate(commit: number, now: Millis): void {
		this.#commitIndex = commit;
		for (const peer of this.#peers.values()) {
			this.#sendTo(peer, now, false);
		}
	}

	tick(commit: number, now: Millis): void {
		this.#commitIndex = commit;
		this.#updatePeers(now);
		this.#snapshots.tick(now);
		for (const peer of this.#peers.values()) {
			this.#tickPeer(peer, now);
		}
	}

	handleAppendAnswer(from: LogMember, answer: AppendAnswer, commit: number, now: Millis): void {
		const peer = this.#recordContact(from, answer.sentAt, now);
		this.#commitIndex = commit;
		if (peer === undefined) {
			return;
		}

		if (answer.ok) {
			this.#advanceMatch(peer, answer.index, now);
			return;
		}

		// Of several refused messages in flight, only the first one sets the next index.
		if (!peer.probing || answer.previousIndex === peer.nextIndex - 1) {
			peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(answer.index + 1, answer.previousIndex));
			peer.probing = true;
			this.#sendTo(peer, now, true);
		}
	}

	handleSnapshotAnswer(from: LogMember, answer: SnapshotAnswer, now: Millis): void {
		const peer = this.#recordContact(from, answer.sentAt, now);
		if (peer?.snapshotTransfer?.index === answer.index) {
			const progress = answer.offset > peer.snapshotTransfer.offset || answer.offset === 0;
			peer.snapshotTransfer.offset = answer.offset;
			if (progress) {
				this.#snapshots.send(peer, now);
			}
		}
	}

	/** The highest index that a majority of voters has synced. */
	majorityMatch(): number {
		return this.#majorityValue(peer => peer.matchIndex, this.#context.storage.syncedIndex);
	}

	/** Latest time at which a majority of voters still accepted this member as leader. */
	majorityContact(now: Millis): number {
		return this.#majorityValue(peer => peer.ackedAt, now);
	}

	/** True if a majority has been heard since the heartbeat before the last one: a leader that hears nobody can't tell which voter is silent. */
	hearsMajority(now: Millis): boolean {
		return now - this.#majorityValue(peer => peer.heardAt, now) <= 2 * consensusTiming.heartbeatMs;
	}

	/** True if the leader has had no contact with a majority for `quorumLossMs`, not counting the time for which its process stood still. */
	quorumLost(now: Millis): boolean {
		this.#recordStandstill(now);
		const contact = Math.max(this.majorityContact(now), this.#electedAt);
		const lostMs = this.#standstills.reduce((sum, standstill) => sum + (standstill.endedAt > contact ? standstill.lostMs : 0), 0);
		return now - contact - lostMs > consensusTiming.quorumLossMs;
	}

	#recordStandstill(now: Millis): void {
		const {lostMs} = this.#awake;
		this.#awake.step(now);
		const standstill = {endedAt: now, lostMs: this.#awake.lostMs - lostMs};
		if (standstill.lostMs > 0) {
			this.#standstills = [...this.#standstills.filter(({endedAt}) => now - endedAt <= consensusTiming.quorumLossMs), standstill];
		}
	}

	/** The highest value that a majority has reached of each set of members that votes. */
	#majorityValue(value: (peer: PeerProgress) => number, own: number): number {
		const {storage, self} = this.#context;
		const selfKey = memberKey(self);
		const valueOf = (voter: LogMember) => {
			const key = memberKey(voter);
			if (key === selfKey) {
				return own;
			}

			const peer = this.#peers.get(key);
			return peer === undefined ? Number.NEGATIVE_INFINITY : value(peer);
		};

		return Math.min(...votingSets(storage.configuration!).map(set => majorityValue(set.map(voter => valueOf(voter)))));
	}

	#isSuperseded({member, heardAt}: PeerProgress): boolean {
		return this.peers().some(other =>
			other.member.nodeId === member.nodeId && other.member.storageId !== member.storageId && other.heardAt > heardAt);
	}

	#add(member: LogMember, now: Millis): PeerProgress {
		const peer: PeerProgress = {
			member,
			matchIndex: 0,
			nextIndex: this.#context.storage.log.lastIndex + 1,
			sentCommitIndex: 0,
			probing: true,
			ackedAt: Number.NEGATIVE_INFINITY,
			answeredAt: Number.NEGATIVE_INFINITY,
			heardAt: now,
			sentAt: Number.NEGATIVE_INFINITY,
		};
		this.#peers.set(memberKey(member), peer);
		return peer;
	}

	#updatePeers(now: Millis): void {
		const {storage, self} = this.#context;
		for (const voter of storage.configuration!.voters) {
			if (!this.#peers.has(memberKey(voter)) && memberKey(voter) !== memberKey(self)) {
				this.#add(voter, now);
			}
		}

		for (const peer of this.peers()) {
			if (!isVoter(storage.configuration, peer.member) && now - peer.heardAt > consensusTiming.learnerTimeoutMs) {
				this.#peers.delete(memberKey(peer.member));
			}
		}
	}

	#tickPeer(peer: PeerProgress, now: Millis): void {
		if (peer.nextIndex - 1 > peer.matchIndex && now - peer.heardAt > consensusTiming.resendMs) {
			peer.nextIndex = peer.matchIndex + 1;
			peer.probing = true;
		}

		if (now - peer.sentAt >= consensusTiming.heartbeatMs) {
			this.#sendTo(peer, now, true);
		}
	}

	#recordContact(from: LogMember, sentAt: number, now: Millis): PeerProgress | undefined {
		const peer = this.#peers.get(memberKey(from));
		if (peer !== undefined) {
			peer.heardAt = now;
			peer.answeredAt = now;
			peer.ackedAt = Math.max(peer.ackedAt, sentAt);
		}

		return peer;
	}

	#advanceMatch(peer: PeerProgress, index: number, now: Millis): void {
		peer.matchIndex = Math.max(peer.matchIndex, index);
		peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
		peer.probing = false;
		peer.snapshotTransfer = undefined;
		this.#sendTo(peer, now, false);
	}

	/** Sends the next entries or a new commit index, if any; with `force` sends at least a heartbeat, or the next chunk of a snapshot. */
	#sendTo(peer: PeerProgress, now: Millis, force: boolean): void {
		const {storage} = this.#context;
		if (now - peer.heardAt > consensusTiming.silentMs) {
			if (force) {
				this.#probe(peer, now);
			}

			return;
		}

		if (peer.nextIndex <= storage.log.baseIndex) {
			if (force) {
				this.#snapshots.send(peer, now);
			}

			return;
		}

		const mayAppend = peer.probing ? force : this.#hasRoom(peer);
		const entries = mayAppend ? this.#nextEntries(peer.nextIndex) : [];
		// A member that holds all entries is sent a new commit index at once.
		const commitAdvanced = !peer.probing && peer.matchIndex === peer.nextIndex - 1 && peer.sentCommitIndex < this.#commitIndex;
		if (entries.length > 0 || commitAdvanced || force) {
			this.#append(peer, entries, now);
		}
	}

	/** Sends a heartbeat without entries to a silent member: the entries may be many, and the member may be gone. */
	#probe(peer: PeerProgress, now: Millis): void {
		peer.nextIndex = Math.max(peer.nextIndex, this.#context.storage.log.baseIndex + 1);
		peer.probing = true;
		this.#append(peer, [], now);
	}

	#append(peer: PeerProgress, entries: readonly LogEntry[], now: Millis): void {
		const {storage, send} = this.#context;
		const previousIndex = peer.nextIndex - 1;
		send(peer.member.nodeId, {
			type: 'append',
			term: storage.term,
			previousIndex,
			previousTerm: storage.log.term(previousIndex)!,
			entries,
			commit: this.#commitIndex,
			sentAt: now,
		}, peer.member.storageId);
		peer.sentAt = now;
		peer.sentCommitIndex = this.#commitIndex;
		if (!peer.probing && entries.length > 0) {
			peer.nextIndex += entries.length;
		}
	}

	/** True if less is sent to the member and not acknowledged than it may be. */
	#hasRoom({matchIndex, nextIndex}: PeerProgress): boolean {
		const {limits, storage: {log}} = this.#context;
		return nextIndex - 1 - matchIndex < limits.unacknowledged && log.size(matchIndex, nextIndex - 1) < limits.unacknowledgedBytes;
	}

	#nextEntries(from: number): readonly LogEntry[] {
		const {limits, storage: {log}} = this.#context;
		return log.slice(from, limits.messageEntries, limits.messageBytes);
	}
}
