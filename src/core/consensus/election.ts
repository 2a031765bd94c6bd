import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import {consensusTiming} from './consensus-timing.ts';
import {hasMajority} from './has-majority.ts';
import {isVoter} from './is-voter.ts';
import type {LogMember} from './log-member.ts';
import type {MemberContext} from './member-context.ts';
import {memberKey} from './member-key.ts';

type VoteRequest = ConsensusMessage['body'] & {type: 'vote'};
type VoteAnswer = ConsensusMessage['body'] & {type: 'vote-answer'};

/** Answers vote requests and runs the member's own candidacy: first a pre-vote, which changes no term, then the vote. */
export class Election {
	readonly #context: MemberContext;
	/** A leader's silence is measured by it, while its messages may wait unread; it never runs faster than the clock, so that a lease ends before this member votes. */
	readonly #awake = new AwakeClock();
	readonly #onWon: (now: Millis) => void;
	#phase: 'none' | 'pre' | 'vote' = 'none';
	#votes = new Set<string>();
	/** Time of the next pre-vote, on the clock that stops with this process. */
	#deadlineAt: number | undefined;
	#leaderHeardAt: Millis | undefined;
	/** The same, on the clock that stops with this process. */
	#awakeHeardAt: Millis | undefined;

	constructor(context: MemberContext, onWon: (now: Millis) => void) {
		this.#context = context;
		this.#leaderHeardAt = context.startedAt;
		this.#awakeHeardAt = context.startedAt;
		this.#onWon = onWon;
	}

	get isCandidate(): boolean {
		return this.#phase !== 'none';
	}

	/** Milliseconds since the last contact with a leader; counts from the process's start, since there may have been contact just before a restart. */
	leaderSilence(now: Millis): number {
		this.#leaderHeardAt ??= now;
		return now - this.#leaderHeardAt;
	}

	/** The same, without the time for which this process stood still. */
	awakeLeaderSilence(now: Millis): number {
		const awakeAt = this.#awake.step(now);
		this.#awakeHeardAt ??= awakeAt;
		return awakeAt - this.#awakeHeardAt;
	}

	/** To be called in each tick of the member, also while it leads: that is no standstill. */
	stepClock(now: Millis): void {
		this.#awake.step(now);
	}

	heardLeader(now: Millis): void {
		this.#leaderHeardAt = now;
		this.#awakeHeardAt = this.#awake.step(now);
		this.cancel(now);
	}

	/** Abandons a candidacy and sets a new election deadline. */
	cancel(now: Millis): void {
		this.#phase = 'none';
		this.#resetElectionDeadline(this.#awake.step(now));
	}

	tick(now: Millis): void {
		const awakeAt = this.#awake.step(now);
		this.#leaderHeardAt ??= now;
		this.#awakeHeardAt ??= awakeAt;
		if (this.#deadlineAt === undefined) {
			this.#resetElectionDeadline(this.#awakeHeardAt);
		}

		const {storage, self} = this.#context;
		if (awakeAt >= this.#deadlineAt! && isVoter(storage.configuration, self)) {
			this.#startPreVote(now);
		}
	}

	/** Answers a vote request; `leaderAlive` is true if contact with a leader is too recent to elect another. */
	handleVoteRequest(from: LogMember, request: VoteRequest, leaderAlive: boolean, now: Millis): void {
		if (request.pre) {
			this.#answerPreVote(from, request, leaderAlive, now);
			return;
		}

		this.#answerVote(from, request, now);
	}

	handleVoteAnswer(from: LogMember, answer: VoteAnswer, now: Millis): void {
		const {storage} = this.#context;
		const expected = answer.pre ? {phase: 'pre', term: storage.term + 1} : {phase: 'vote', term: storage.term};
		if (!answer.granted || this.#phase !== expected.phase || answer.term !== expected.term) {
			return;
		}

		this.#votes.add(memberKey(from));
		this.#countVotes(now);
	}

	#answerPreVote(from: LogMember, request: VoteRequest, leaderAlive: boolean, now: Millis): void {
		const {storage} = this.#context;
		const eligible = !leaderAlive && request.term > storage.term && this.#isUpToDate(request);
		const granted = eligible && !this.#hasPrecedenceOver(from, request);
		if (granted && this.#phase === 'pre') {
			this.#phase = 'none';
			this.#setRetryDeadline(now);
		}

		this.#answer(from.nodeId, true, granted ? request.term : storage.term, granted);
	}

	/** Of two candidates in pre-vote with equal logs, the one with the lower node id continues. */
	#hasPrecedenceOver(from: LogMember, {lastTerm, lastIndex}: VoteRequest): boolean {
		const {storage: {log}, self} = this.#context;
		const equalLogs = lastTerm === log.lastTerm && lastIndex === log.lastIndex;
		return this.#phase === 'pre' && equalLogs && self.nodeId < from.nodeId;
	}

	#answerVote(from: LogMember, request: VoteRequest, now: Millis): void {
		const {storage} = this.#context;
		const key = memberKey(from);
		const canVote = storage.votedFor === undefined || storage.votedFor === key;
		const granted = request.term === storage.term && canVote && this.#isUpToDate(request);
		if (!granted) {
			this.#answer(from.nodeId, false, storage.term, false);
			return;
		}

		if (storage.votedFor === undefined) {
			storage.setVote(request.term, key);
		}

		this.#resetElectionDeadline(this.#awake.step(now));
		storage.writes.whenSynced(() => {
			if (storage.term === request.term && storage.votedFor === key) {
				this.#answer(from.nodeId, false, request.term, true);
			}
		});
	}

	#startPreVote(now: Millis): void {
		this.#phase = 'pre';
		this.#votes = new Set([memberKey(this.#context.self)]);
		this.#setRetryDeadline(now);
		this.#requestVotes(true, this.#context.storage.term + 1);
		this.#countVotes(now);
	}

	#countVotes(now: Millis): void {
		const {storage} = this.#context;
		if (storage.configuration === undefined || !hasMajority(storage.configuration, this.#votes)) {
			return;
		}

		if (this.#phase === 'pre') {
			this.#startElection(now);
			return;
		}

		this.#phase = 'none';
		this.#onWon(now);
	}

	#startElection(now: Millis): void {
		const {storage, self, outbox} = this.#context;
		const term = storage.term + 1;
		this.#phase = 'vote';
		this.#votes = new Set();
		this.#resetElectionDeadline(this.#awake.step(now));
		storage.setVote(term, memberKey(self));
		outbox.count('elections');
		storage.writes.whenSynced(() => {
			if (this.#phase === 'vote' && storage.term === term) {
				this.#votes.add(memberKey(self));
				this.#requestVotes(false, term);
				this.#countVotes(now);
			}
		});
	}

	#requestVotes(pre: boolean, term: number): void {
		const {storage, self, send} = this.#context;
		for (const voter of storage.configuration!.voters) {
			if (voter.nodeId !== self.nodeId) {
				send(voter.nodeId, {
					type: 'vote', pre, term, lastIndex: storage.log.lastIndex, lastTerm: storage.log.lastTerm,
				}, voter.storageId);
			}
		}
	}

	#answer(to: NodeId, pre: boolean, term: number, granted: boolean): void {
		this.#context.send(to, {
			type: 'vote-answer', pre, term, granted,
		});
	}

	#isUpToDate({lastTerm, lastIndex}: VoteRequest): boolean {
		const {log} = this.#context.storage;
		return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
	}

	#resetElectionDeadline(contactAt: Millis): void {
		// Other members may have had contact with the leader up to one heartbeat later, and grant no vote within `electionTimeoutMs` of it.
		const {electionTimeoutMs, heartbeatMs} = consensusTiming;
		this.#deadlineAt = contactAt + electionTimeoutMs + heartbeatMs + this.#jitter();
	}

	/** Sets the time of the next pre-vote: with no leader alive it need not be a full election timeout away. */
	#setRetryDeadline(now: Millis): void {
		this.#deadlineAt = this.#awake.step(now) + consensusTiming.preVoteRetryMs + this.#jitter();
	}

	#jitter(): number {
		return this.#context.random.next() * consensusTiming.electionJitterMs;
	}
}
