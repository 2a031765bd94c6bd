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

/** Votes of one member, and its own candidacy: first a pre-vote that changes no term, then the vote. */
export class Election {
	readonly #context: MemberContext;
	readonly #won: (now: Millis) => void;
	#phase: 'none' | 'pre' | 'vote' = 'none';
	#votes = new Set<string>();
	#standAt: number | undefined;
	#heardAt: number | undefined;

	constructor(context: MemberContext, won: (now: Millis) => void) {
		this.#context = context;
		this.#won = won;
	}

	get standing(): boolean {
		return this.#phase !== 'none';
	}

	/** Time since a leader was heard; a member that starts may have heard one just before. */
	silence(now: Millis): number {
		this.#heardAt ??= now;
		return now - this.#heardAt;
	}

	heardLeader(now: Millis): void {
		this.#heardAt = now;
		this.stop(now);
	}

	/** Gives up a candidacy and waits for another random time. */
	stop(now: Millis): void {
		this.#phase = 'none';
		this.#wait(now);
	}

	tick(now: Millis): void {
		this.#heardAt ??= now;
		if (this.#standAt === undefined) {
			this.#wait(now);
		}

		const {storage, self} = this.#context;
		if (now >= this.#standAt! && isVoter(storage.configuration, self)) {
			this.#stand(now);
		}
	}

	/** Answers a request for a vote; `leaderAlive` if a leader was heard too recently to help another. */
	requested(from: LogMember, request: VoteRequest, leaderAlive: boolean, now: Millis): void {
		if (request.pre) {
			this.#preVote(from, request, leaderAlive, now);
			return;
		}

		this.#vote(from, request, now);
	}

	answered(from: LogMember, answer: VoteAnswer, now: Millis): void {
		const {storage} = this.#context;
		const expected = answer.pre ? {phase: 'pre', term: storage.term + 1} : {phase: 'vote', term: storage.term};
		if (!answer.granted || this.#phase !== expected.phase || answer.term !== expected.term) {
			return;
		}

		this.#votes.add(memberKey(from));
		this.#count(now);
	}

	#preVote(from: LogMember, request: VoteRequest, leaderAlive: boolean, now: Millis): void {
		const {storage} = this.#context;
		const eligible = !leaderAlive && request.term > storage.term && this.#upToDate(request);
		const granted = eligible && !this.#goesFirst(from, request);
		if (granted && this.#phase === 'pre') {
			this.#phase = 'none';
			this.#waitForRetry(now);
		}

		this.#answer(from.nodeId, true, granted ? request.term : storage.term, granted);
	}

	/** Of two members that stand at the same time with equal logs, the one with the lower id goes on. */
	#goesFirst(from: LogMember, {lastTerm, lastIndex}: VoteRequest): boolean {
		const {storage: {log}, self} = this.#context;
		const equalLogs = lastTerm === log.lastTerm && lastIndex === log.lastIndex;
		return this.#phase === 'pre' && equalLogs && self.nodeId < from.nodeId;
	}

	#vote(from: LogMember, request: VoteRequest, now: Millis): void {
		const {storage} = this.#context;
		const key = memberKey(from);
		const free = storage.votedFor === undefined || storage.votedFor === key;
		const granted = request.term === storage.term && free && this.#upToDate(request);
		if (!granted) {
			this.#answer(from.nodeId, false, storage.term, false);
			return;
		}

		if (storage.votedFor === undefined) {
			storage.setVote(request.term, key);
		}

		this.#wait(now);
		storage.writes.whenSynced(() => {
			if (storage.term === request.term && storage.votedFor === key) {
				this.#answer(from.nodeId, false, request.term, true);
			}
		});
	}

	#stand(now: Millis): void {
		this.#phase = 'pre';
		this.#votes = new Set([memberKey(this.#context.self)]);
		this.#waitForRetry(now);
		this.#request(true, this.#context.storage.term + 1);
		this.#count(now);
	}

	#count(now: Millis): void {
		const {storage} = this.#context;
		if (storage.configuration === undefined || !hasMajority(storage.configuration, this.#votes)) {
			return;
		}

		if (this.#phase === 'pre') {
			this.#standForTerm(now);
			return;
		}

		this.#phase = 'none';
		this.#won(now);
	}

	#standForTerm(now: Millis): void {
		const {storage, self, outbox} = this.#context;
		const term = storage.term + 1;
		this.#phase = 'vote';
		this.#votes = new Set();
		this.#wait(now);
		storage.setVote(term, memberKey(self));
		outbox.count('elections');
		storage.writes.whenSynced(() => {
			if (this.#phase === 'vote' && storage.term === term) {
				this.#votes.add(memberKey(self));
				this.#request(false, term);
				this.#count(now);
			}
		});
	}

	#request(pre: boolean, term: number): void {
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

	#upToDate({lastTerm, lastIndex}: VoteRequest): boolean {
		const {log} = this.#context.storage;
		return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
	}

	#wait(now: Millis): void {
		// Others heard the leader up to one heartbeat later and grant no vote before that.
		const {electionMs, heartbeatMs} = consensusTiming;
		this.#standAt = now + electionMs + heartbeatMs + this.#spread();
	}

	/** Waits for answers to a pre-vote; nobody has to be spared by then. */
	#waitForRetry(now: Millis): void {
		this.#standAt = now + consensusTiming.retryMs + this.#spread();
	}

	#spread(): number {
		return this.#context.random.next() * consensusTiming.electionSpreadMs;
	}
}
