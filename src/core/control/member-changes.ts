import type {Outbox} from '../common/outbox.ts';
import type {GroupView} from '../consensus/group-view.ts';
import type {RaftMember} from '../consensus/raft-member.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {CommandOutcome} from '../tree/command-outcome.ts';
import {controlTiming} from './control-timing.ts';
import {VoterPolicy} from './voter-policy.ts';

type MemberChangesOptions = {
	readonly self: NodeId;
	readonly consensus: RaftMember<CommandOutcome>;
	/** Number of disks that may be lost at the same time. */
	readonly toleratedLosses: number;
	/** Time at which a node was heard last, apart from the replicated log; of the start of this one if it never was. */
	readonly heardAt: (nodeId: NodeId) => Millis | undefined;
	readonly outbox: Outbox;
};

/** Changes the members of the replicated log, as a leader, one at a time. */
export class MemberChanges {
	readonly #options: MemberChangesOptions;
	readonly #policy: VoterPolicy;
	#changedAt = Number.NEGATIVE_INFINITY;

	constructor(options: MemberChangesOptions) {
		this.#options = options;
		this.#policy = new VoterPolicy(options.toleratedLosses);
	}

	tick(now: Millis): void {
		const {self, consensus, outbox} = this.#options;
		const group = consensus.groupView(now);
		if (group === undefined || now - this.#changedAt < controlTiming.memberChangeIntervalMs) {
			return;
		}

		const voters = group.voters.map(voter => ({...voter, silentMs: this.#silenceOf(voter, now)}));
		const change = this.#policy.nextChange({...group, voters}, self);
		if (change !== undefined && consensus.changeMembers(change, now)) {
			this.#changedAt = now;
			outbox.event('member-change', {
				change: change.type, node: change.nodeId, reason: change.reason, voters: group.voters.length,
			});
		}
	}

	/** A new leader knows from gossip how long a voter has been silent that has not answered it yet. */
	#silenceOf({nodeId, silentMs, hasAnswered}: GroupView['voters'][number], now: Millis): number {
		return hasAnswered ? silentMs : now - (this.#options.heardAt(nodeId) ?? now);
	}
}
