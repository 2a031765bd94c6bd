import type {GroupView} from '../consensus/group-view.ts';
import type {MemberChange} from '../consensus/member-change.ts';
import type {NodeId} from '../ids/node-id.ts';
import {controlTiming} from './control-timing.ts';

/** A change of the voters, and why it is made. */
type PlannedChange = MemberChange & {readonly reason: 'too-few-voters' | 'silent-voter' | 'surplus' | 'standby-gone' | 'standby-late'};

/**
 * Decides which control nodes vote: as many as leave a majority after the tolerated losses (2n + 1 for n losses).
 * A standby is added while voters are missing; a silent voter is replaced by a standby in one change, so that both may
 * go without a majority being lost. A standby that was added and goes before it votes, or falls behind while another one
 * is ready, is withdrawn.
 *
 * Load pattern: control nodes are replaced one after another, so that nodes that left a moment ago are still known.
 */
export class VoterPolicy {
	readonly #targetSize: number;

	/** @param tolerated - number of disks that may be lost at the same time. */
	constructor(tolerated: number) {
		this.#targetSize = (2 * tolerated) + 1;
	}

	nextChange({configurationCommitted, wanted, voters, learners}: GroupView, self: NodeId): PlannedChange | undefined {
		if (!configurationCommitted) {
			return undefined;
		}

		const answering = learners.filter(({silentMs}) => silentMs <= controlTiming.replaceVoterMs);
		const standbys = answering.filter(({caughtUp}) => caughtUp).map(({nodeId}) => nodeId);
		const standby = standbys.find(nodeId => !wanted.includes(nodeId));
		const pending = wanted.find(nodeId => !voters.some(voter => voter.nodeId === nodeId));
		if (pending !== undefined) {
			// One that has caught up votes with the next change. One that has gone would keep all others from voting.
			const isReachable = answering.some(({nodeId}) => nodeId === pending);
			const isLate = !standbys.includes(pending) && standby !== undefined;
			return isReachable && !isLate ? undefined : {type: 'remove', nodeId: pending, reason: isReachable ? 'standby-late' : 'standby-gone'};
		}

		const silentVoter = voters
			.filter(({nodeId, silentMs}) => nodeId !== self && silentMs > controlTiming.replaceVoterMs)
			.toSorted((left, right) => right.silentMs - left.silentMs)
			.at(0);
		if (wanted.length > this.#targetSize) {
			// One voter too many is left behind by older builds, and by a silent voter that answers again.
			const surplus = silentVoter?.nodeId ?? wanted.findLast(nodeId => nodeId !== self)!;
			return {type: 'remove', nodeId: surplus, reason: 'surplus'};
		}

		if (standby === undefined) {
			return undefined;
		}

		if (wanted.length < this.#targetSize) {
			return {type: 'add', nodeId: standby, reason: 'too-few-voters'};
		}

		return silentVoter && {
			type: 'replace', nodeId: standby, leaving: silentVoter.nodeId, reason: 'silent-voter',
		};
	}
}
