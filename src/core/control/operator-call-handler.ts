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
import {OpenedOrders} from './opened-orders.ts';
import type {OperatorCall} from './operator-call.ts';
import type {OperatorCommand} from './operator-command.ts';
import {withoutOutdatedTraits} from './without-outdated-traits.ts';

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
	/** True once the leader has opened the order. */
	isOpened?: boolean;
	/** Log index that this node must have committed before it answers a read; set by the leader's confirmation. */
	requiredIndex?: number;
};

/** A change without a version, which takes the place of whatever was ordered before it. */
type Order = {readonly type: 'change'; readonly command: OperatorCommand & {type: 'evacuation'}};

type TraitsServed = RoutesCommand & {type: 'traits-served'};
type Propose = ControlMessage & {type: 'propose'};
type Confirmed = ControlMessage & {type: 'confirmed'};

/** A command in this leader's log; `outcome` is set once it is committed. */
type PendingProposal = {readonly callId: string; readonly from: NodeId; readonly index: number; readonly term: number; readonly proposedAt: Millis; outcome?: RoutesOutcome};

/** Outcome of a proposal and the log index that decided it; no outcome if the node that was asked does not lead. */
type Decision = {readonly outcome: RoutesOutcome | undefined; readonly index?: number};

/** A read that arrived at `since` and waits until a majority has confirmed this node as leader after that time. */
type PendingRead = {readonly callId: string; readonly from: NodeId; readonly since: Millis};

/**
 * Handles operators' changes and reads. A change is accepted once its log entry is committed and the group has enough
 * voters that a majority survives the tolerated disk losses. A read is linearizable: it is answered from a state that
 * a majority confirmed after the read arrived. A node that does not lead passes calls to the leader. An order, which
 * has no version, is opened at the leader first. A call without a definite outcome in time is answered as `unavailable`.
 */
export class OperatorCallHandler {
	readonly #options: OperatorCallHandlerOptions;
	// eslint-disable-next-line no-restricted-syntax -- by calls of this node, each of which ends in time
	readonly #openCalls = new Map<string, OpenCall>();
	#proposals: PendingProposal[] = [];
	/** Set while this node leads and nodes have opened orders. */
	#orders: OpenedOrders | undefined;
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
				this.#propose(from, message, now);
				break;
			}

			case 'proposed': {
				this.#handleOutcome(message.callId, message, now);
				break;
			}

			case 'confirm': {
				const {callId, opensOrderMs} = message;
				if (opensOrderMs === undefined) {
					this.#pendingReads.push({callId, from, since: now});
					this.answerReady(now);
				} else {
					this.#openOrder(from, callId, now + opensOrderMs as Millis, now);
				}

				break;
			}

			case 'confirmed': {
				this.#handleConfirmed(from, message, now);
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
			} else if (leader !== undefined && open.requiredIndex === undefined && (open.submittedTo !== leader || now - open.submittedAt > retryMs(open))) {
				open.submittedTo = leader;
				open.isOpened = false;
				open.submittedAt = now;
				this.#submit(leader, callId, open, now);
			}
		}

		this.#orders?.expire(now);

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

	#submit(leader: NodeId, callId: string, {call, receivedAt}: OpenCall, now: Millis): void {
		const {self, outbox} = this.#options;
		const command = call.type === 'change' ? call.command : undefined;
		if (command === undefined) {
			if (leader === self) {
				this.#pendingReads.push({callId, from: self, since: now});
			} else {
				outbox.send(leader, {part: 'control', body: {type: 'confirm', callId}});
			}
		} else if (command.type === 'evacuation') {
			const waitsUntil = receivedAt + controlTiming.orderTimeoutMs as Millis;
			if (leader === self) {
				this.#openOrder(self, callId, waitsUntil, now);
			} else {
				outbox.send(leader, {part: 'control', body: {type: 'confirm', callId, opensOrderMs: waitsUntil - now}});
			}
		} else if (leader === self) {
			this.#propose(self, {callId, command}, now);
		} else {
			outbox.send(leader, {part: 'control', body: {type: 'propose', callId, command}});
		}
	}

	/** Opens an order of this or another node, if this node leads, until its operator waits no more. */
	#openOrder(from: NodeId, callId: string, expiresAt: Millis, now: Millis): void {
		const {consensus, self, outbox} = this.#options;
		if (!consensus.leads(now)) {
			return;
		}

		const {term, lastIndex} = consensus.status();
		if (this.#orders?.term !== term) {
			this.#orders = new OpenedOrders(term);
		}

		const {opening, index} = this.#orders.open(callId, {index: lastIndex, expiresAt});
		if (from === self) {
			this.#handleConfirmed(self, {callId, index, opening}, now);
		} else {
			outbox.send(from, {
				part: 'control', body: {
					type: 'confirmed', callId, index, opening,
				},
			});
		}
	}

	#handleConfirmed(from: NodeId, {callId, index, opening}: Omit<Confirmed, 'type'>, now: Millis): void {
		const open = this.#openCalls.get(callId);
		if (open === undefined) {
			return;
		}

		const {call, receivedAt, submittedTo} = open;
		if (!isOrder(call)) {
			open.requiredIndex = index;
			this.answerReady(now);
		} else if (from === submittedTo && now - receivedAt <= controlTiming.orderTimeoutMs) {
			open.isOpened = true;
			const {basis = index, ...command} = call.command;
			const proposal = {callId, command: {...command, basis}, opening};
			if (from === this.#options.self) {
				this.#propose(from, proposal, now);
			} else {
				this.#options.outbox.send(from, {part: 'control', body: {type: 'propose', ...proposal}});
			}
		}
	}

	#propose(from: NodeId, {callId, command, opening}: Omit<Propose, 'type'>, now: Millis): void {
		if (this.#proposals.some(proposal => proposal.callId === callId)) {
			return;
		}

		const {consensus} = this.#options;
		const {term} = consensus.status();
		const current = command.type === 'traits-served' ? this.#withoutOutdatedTraits(from, command) : command;
		const order = command.type === 'evacuation' ? command : undefined;
		const orders = this.#orders?.term === term ? this.#orders : undefined;
		const state = order === undefined || opening === undefined ? 'current' : orders?.stateOf(callId, opening, order, now) ?? 'unknown';
		const index = state === 'current' && current !== undefined ? consensus.propose(current, now) : undefined;
		if (index === undefined) {
			this.#sendOutcome(callId, from, {outcome: state === 'superseded' || current === undefined ? {type: 'routes', result: 'stale'} : undefined}, now);
			return;
		}

		if (order !== undefined) {
			orders?.recordAppended(callId, order, index);
		}

		this.#proposals.push({
			callId, from, index, term, proposedAt: now,
		});
	}

	/** Leaves out outdated traits and logs them; undefined if no trait is left. */
	#withoutOutdatedTraits(from: NodeId, command: TraitsServed): TraitsServed | undefined {
		const {consensus, state, outbox} = this.#options;
		const current = withoutOutdatedTraits(command, {ledger: state.crashes, uncommitted: consensus.uncommittedCommands()});
		const outdated = command.traits.filter(trait => !current.traits.includes(trait));
		if (outdated.length > 0) {
			outbox.event('served-traits-dropped', {from, traits: outdated});
		}

		return current.traits.length > 0 ? current : undefined;
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
			open.isOpened = false;
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

function isOrder(call: OperatorCall): call is Order {
	return call.type === 'change' && call.command.type === 'evacuation';
}

/** Time after which a call is submitted again, unless it is answered. */
function retryMs({call, isOpened}: OpenCall): number {
	return isOrder(call) && isOpened !== true ? controlTiming.openRetryMs : controlTiming.callRetryMs;
}
