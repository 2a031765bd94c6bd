import type {GroupView} from '../consensus/group-view.ts';
import type {NodeId} from '../ids/node-id.ts';
import {controlTiming} from './control-timing.ts';

/** A change of the set of voters by one node. */
type MemberChange = {readonly type: 'add' | 'remove'; readonly nodeId: NodeId};

/**
 * Decides which control nodes vote: as many as leave a majority after the tolerated losses (2n + 1 for n losses).
 * A standby is added while voters are missing; a silent voter is removed only once a standby has replaced it.
 */
export class VoterPolicy {
	readonly #targetSize: number;

	/** @param tolerated - number of disks that may be lost at the same time. */
	constructor(tolerated: number) {
		this.#targetSize = (2 * tolerated) + 1;
	}

	nextChange({configurationCommitted, wanted, voters, standbys}: GroupView, self: NodeId): MemberChange | undefined {
		const changePending = wanted.some(nodeId => !voters.some(voter => voter.nodeId === nodeId));
		if (!configurationCommitted || changePending) {
			return undefined;
		}

		const silentVoter = voters.find(({nodeId, silentMs}) => nodeId !== self && silentMs > controlTiming.replaceVoterMs);
		if (wanted.length > this.#targetSize && silentVoter !== undefined) {
			return {type: 'remove', nodeId: silentVoter.nodeId};
		}

		// A replacement votes before the silent voter is removed, so that there are never too few voters.
		const standby = standbys.find(nodeId => !wanted.includes(nodeId));
		const needsVoter = wanted.length < this.#targetSize || (wanted.length === this.#targetSize && silentVoter !== undefined);
		return needsVoter && standby !== undefined ? {type: 'add', nodeId: standby} : undefined;
	}
}
