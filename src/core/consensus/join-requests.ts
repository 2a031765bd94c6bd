import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {MemberContext} from './member-context.ts';

/** Makes a member that has been without a leader for long known to all: it may be new, removed or replaced. */
export class JoinRequests {
	readonly #context: MemberContext;
	readonly #initialMembers: readonly NodeId[];
	#nextRequestAt = 0;
	/** The leader that another member named. */
	#namedLeader: NodeId | undefined;

	constructor(context: MemberContext, initialMembers: readonly NodeId[]) {
		this.#context = context;
		this.#initialMembers = initialMembers;
	}

	/** Asks to join if a leader has not been heard for `silenceMs`; a member with an empty folder does so at once. */
	tick(silenceMs: number, now: Millis): void {
		const {electionTimeoutMs: electionMs, joinIntervalMs: joinMs} = consensusTiming;
		if (now < this.#nextRequestAt || (silenceMs < 2 * electionMs && !this.#context.storage.empty)) {
			return;
		}

		this.#nextRequestAt = now + joinMs;
		for (const nodeId of this.#knownNodes()) {
			if (nodeId !== this.#context.self.nodeId) {
				this.#context.send(nodeId, {type: 'join'});
			}
		}
	}

	/** Asks a leader that another member named: the settings of a new member may not know it. */
	handleRedirect(leader: NodeId): void {
		if (leader !== this.#context.self.nodeId) {
			this.#namedLeader = leader;
			this.#context.send(leader, {type: 'join'});
		}
	}

	#knownNodes(): ReadonlySet<NodeId> {
		const {configuration} = this.#context.storage;
		const voters = configuration?.voters.map(voter => voter.nodeId) ?? [];
		const named = this.#namedLeader === undefined ? [] : [this.#namedLeader];
		return new Set([...this.#initialMembers, ...voters, ...(configuration?.wanted ?? []), ...named]);
	}
}
