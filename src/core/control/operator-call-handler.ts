import type {RaftMember} from '../consensus/raft-member.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';
import type {RoutesOutcome} from '../routes/routes-outcome.ts';
import type {RoutesState} from '../routes/routes-state.ts';
import type {CommandOutcome} from '../tree/command-outcome.ts';
import type {CallAnswer} from './call-answer.ts';
import type {ControlMessage} from './control-message.ts';
import {controlTiming} from './control-timing.ts';
import type {OperatorCall} from './operator-call.ts';

type OperatorCallHandlerOptions = {
	readonly self: NodeId;
	readonly consensus: RaftMember<CommandOutcome>;
	readonly state: RoutesState;
	/** Number of voters of which a majority survives the tolerated disk losses. */
	readonly requiredVoters: number;
	readonly outbox: Outbox;
	readonly answer: (callId: string, answer: CallAnswer) => void;
};

/** A call received from an operator and not answered yet. */
type OpenCall = {
	readonly call: OperatorCall;
	readonly receivedAt: Millis;
	submittedAt: number;
	submittedTo?: NodeId;
	/** Log index that this node must have committed before it answers a read; set by the leader's confirmation. */
	requiredIndex?: number;
};

/** A command in this leader's log; `outcome` is set once it is committed. */
type PendingProposal = {readonly callId: string; readonly from: NodeId; readonly index: number; readonly term: number; readonly proposedAt: Millis; outcome?: RoutesOutcome};

/** Outcome of a proposal and the log index that decided it; no outcome if the node that was asked does not lead. */
type Decision = {readonly outcome: RoutesOutcome | undefined; readonly index?: number};

/** A read that arrived at `since` and waits until a majority has confirmed this node as leader after that time. */
type PendingRead = {readonly callId: string; readonly from: NodeId; readonly since: Millis};

/**
 * Handles operators' changes and reads. A change is accepted once its log entry is committed and the group has enough
 * voters that a majority survives the tolerated disk losses. A read is linearizable: it is answered from a state that
 * a majority confirmed after the read arrived. A node that does not lead passes calls to the leader. A call without
 * a definite outcome in time is answered as `unavailable`.
 */
export class OperatorCallHandler {
	readonly #options: OperatorCallHandlerOptions;
	// eslint-disable-next-line no-restricted-syntax -- by calls of this node, each of which ends in time
	readonly #openCalls = new Map<string, OpenCall>();
	#proposals: PendingProposal[] = [];
	#pendingReads: PendingRead[] = [];

	constructor(options: OperatorCallHandlerOptions) {
		this.#options = options;
	}

	/** @param receivedAt - Time at which the call was read. */
	call(callId: string, call: OperatorCall, receivedAt: Millis, now: Millis): void {
		this.#openCalls.set(callId, {call, receivedAt, submittedAt: Number.NEGATIVE_INFINITY});
		this.tick(now);
	}

	/** Drops a call whose operator waits no more; what is proposed already may still be applied. */
	abandon(callId: string): void {
		this.#openCalls.delete(callId);
	}

	handle(from: NodeId, message: ControlMessage, now: Millis): void {
		switch (message.type) {
			case 'propose': {
				this.#propose(message.callId, from, message.command, now);
				break;
			}

			case 'proposed': {
				this.#handleOutcome(message.callId, message, now);
				break;
			}

			case 'confirm': {
				this.#pendingReads.push({callId: message.callId, from, since: now});
				this.answerReady(now);
				break;
			}

			case 'confirmed': {
				const open = this.#openCalls.get(message.callId);
				if (open !== undefined) {
					open.requiredIndex = message.index;
					this.answerReady(now);
				}

				break;
			}

			case 'follow':
			case 'feed':
			case 'gossip':
			case 'streams-begun':
			case 'find-stream':
			case 'stream-found':
			case 'crashes-seen':
			case 'trial-wanted':
			case 'trial-answer':
			case 'crashes-recorded': {
				break;
			}
		}
	}

	/** Records the outcomes of committed log entries. An entry of another term at a proposal's index means that the proposal was lost. */
	recordOutcomes(entries: ReadonlyArray<{index: number; term: number; outcome: CommandOutcome}>): void {
		for (const {index, term, outcome} of entries) {
			for (const proposal of this.#proposals) {
				if (proposal.index === index) {
					proposal.outcome = proposal.term === term && outcome.type === 'routes' ? outcome : {type: 'routes', result: 'stale'};
				}
			}
		}
	}

	tick(now: Millis): void {
		const leader = this.#options.consensus.leader();
		for (const [callId, open] of this.#openCalls) {
			if (now - open.receivedAt > timeoutOf(open.call)) {
				this.#answer(callId, {type: 'unavailable', reason: leader === undefined ? 'the replicated log has no leader' : 'the leader did not confirm in time'});
			} else if (leader !== undefined && open.requiredIndex === undefined && (open.submittedTo !== leader || now - open.submittedAt > controlTiming.callRetryMs)) {
				open.submittedTo = leader;
				open.submittedAt = now;
				this.#submit(leader, callId, open.call, now);
			}
		}

		// The nodes that received these calls have answered them by now.
		this.#proposals = this.#proposals.filter(({proposedAt}) => now - proposedAt <= controlTiming.callTimeoutMs);
		this.#pendingReads = this.#pendingReads.filter(({since}) => now - since <= controlTiming.callTimeoutMs);
		this.answerReady(now);
	}

	/** Answers the calls whose result is known. */
	answerReady(now: Millis): void {
		this.#answerProposals(now);
		this.#answerReads(now);
		for (const [callId, {call, requiredIndex}] of this.#openCalls) {
			if (call.type === 'read' && requiredIndex !== undefined && this.#options.consensus.commitIndex >= requiredIndex) {
				this.#answer(callId, {type: 'document', document: this.#options.state.document});
			}
		}
	}

	#submit(leader: NodeId, callId: string, call: OperatorCall, now: Millis): void {
		const {self, outbox} = this.#options;
		if (call.type === 'read') {
			if (leader === self) {
				this.#pendingReads.push({callId, from: self, since: now});
			} else {
				outbox.send(leader, {part: 'control', body: {type: 'confirm', callId}});
			}
		} else if (leader === self) {
			this.#propose(callId, self, call.command, now);
		} else {
			outbox.send(leader, {part: 'control', body: {type: 'propose', callId, command: call.command}});
		}
	}

	#propose(callId: string, from: NodeId, command: RoutesCommand, now: Millis): void {
		if (this.#proposals.some(proposal => proposal.callId === callId)) {
			return;
		}

		const {consensus} = this.#options;
		const index = consensus.propose(command, now);
		if (index === undefined) {
			this.#sendOutcome(callId, from, {outcome: undefined}, now);
			return;
		}

		this.#proposals.push({
			callId, from, index, term: consensus.status().term, proposedAt: now,
		});
	}

	#answerProposals(now: Millis): void {
		if (this.#proposals.length === 0) {
			return;
		}

		const {consensus, requiredVoters} = this.#options;
		const group = consensus.groupView(now);
		if (consensus.leader() !== this.#options.self) {
			// The next leader may or may not commit these entries, so their outcome is unknown here. The nodes that received
			// the calls submit them again to the next leader, until the calls time out.
			this.#proposals = [];
			return;
		}

		if (group === undefined || !group.configurationCommitted || group.voters.length < requiredVoters) {
			return;
		}

		const answerable = this.#proposals.filter(({outcome}) => outcome !== undefined);
		this.#proposals = this.#proposals.filter(({outcome}) => outcome === undefined);
		for (const {callId, from, outcome, index} of answerable) {
			this.#sendOutcome(callId, from, {outcome, index}, now);
		}
	}

	#answerReads(now: Millis): void {
		if (this.#pendingReads.length === 0) {
			return;
		}

		const {consensus, self, outbox} = this.#options;
		const confirmedAt = consensus.confirmedAt(now);
		if (confirmedAt === undefined) {
			return;
		}

		const confirmed = this.#pendingReads.filter(({since}) => since <= confirmedAt);
		this.#pendingReads = this.#pendingReads.filter(({since}) => since > confirmedAt);
		for (const {callId, from} of confirmed) {
			const index = consensus.commitIndex;
			if (from === self) {
				const open = this.#openCalls.get(callId);
				if (open !== undefined) {
					open.requiredIndex = index;
				}
			} else {
				outbox.send(from, {part: 'control', body: {type: 'confirmed', callId, index}});
			}
		}
	}

	#sendOutcome(callId: string, from: NodeId, decision: Decision, now: Millis): void {
		if (from === this.#options.self) {
			this.#handleOutcome(callId, decision, now);
		} else {
			this.#options.outbox.send(from, {part: 'control', body: {type: 'proposed', callId, ...decision}});
		}
	}

	#handleOutcome(callId: string, {outcome, index}: Decision, now: Millis): void {
		const open = this.#openCalls.get(callId);
		if (open === undefined) {
			return;
		}

		if (outcome === undefined) {
			// The node that was asked does not lead: the call is retried after the usual interval, or when the leader changes.
			open.submittedAt = now;
			return;
		}

		if (outcome.result === 'stale') {
			this.#answer(callId, {type: 'unavailable', reason: 'a newer order went first', index});
			return;
		}

		this.#answer(callId, {type: 'accepted', index});
	}

	#answer(callId: string, answer: CallAnswer): void {
		this.#openCalls.delete(callId);
		this.#options.answer(callId, answer);
	}
}

/** Time for which an operator waits for the answer to a call. */
function timeoutOf(call: OperatorCall): number {
	return isOrder(call) ? controlTiming.orderTimeoutMs : controlTiming.callTimeoutMs;
}

/** True for a change without a version, which takes the place of whatever was ordered before it. */
function isOrder(call: OperatorCall): call is OperatorCall & {command: {type: 'evacuation'}} {
	return call.type === 'change' && call.command.type === 'evacuation';
}
