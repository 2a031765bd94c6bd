import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {MemberContext} from './member-context.ts';

/** Sends `join` to all known nodes while this member has long had no contact with a leader: it may be new, removed or replaced. */
export class JoinRequests {
	readonly #context: MemberContext;
	readonly #initialMembers: readonly NodeId[];
	#nextRequestAt = 0;
	/** The leader named in another member's redirect. */
	#namedLeader: NodeId | undefined;

	constructor(context: MemberContext, initialMembers: readonly NodeId[]) {
		this.#context = context;
		this.#initialMembers = initialMembers;
	}

	/** Sends `join` if `silenceMs`, the time since contact with a leader, reaches the election timeout, so that the next leader knows of it from its start; an empty member sends it at once. */
	tick(silenceMs: number, now: Millis): void {
		const {electionTimeoutMs, joinIntervalMs} = consensusTiming;
		if (now < this.#nextRequestAt || (silenceMs < electionTimeoutMs && !this.#context.storage.empty)) {
			return;
		}

		this.#nextRequestAt = now + joinIntervalMs;
		for (const nodeId of this.#knownNodes()) {
			if (nodeId !== this.#context.self.nodeId) {
				this.#context.send(nodeId, {type: 'join'});
			}
		}
	}

	/** Sends `join` to a leader named by another member, which a new member's settings may not list. */
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
