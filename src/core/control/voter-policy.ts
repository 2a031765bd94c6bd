import type {GroupView} from '../consensus/group-view.ts';
import type {NodeId} from '../ids/node-id.ts';
import {controlTiming} from './control-timing.ts';

/** One change of the members that ought to vote. */
type MemberChange = {readonly type: 'add' | 'remove'; readonly nodeId: NodeId};

/**
 * Which control nodes vote: enough that the tolerated number of them may be lost and a majority is left.
 * A standby fills a free place; a voter that has fallen silent gives up its place only while a standby can take it.
 */
export class VoterPolicy {
	readonly #targetSize: number;

	/** @param tolerated - disks that may be lost at the same time. */
	constructor(tolerated: number) {
		this.#targetSize = (2 * tolerated) + 1;
	}

	nextChange({configurationCommitted: settled, wanted, voters, standbys}: GroupView, self: NodeId): MemberChange | undefined {
		const changePending = wanted.some(nodeId => !voters.some(voter => voter.nodeId === nodeId));
		if (!settled || changePending) {
			return undefined;
		}

		const silentVoter = voters.find(({nodeId, silentMs}) => nodeId !== self && silentMs > controlTiming.replaceVoterMs);
		if (wanted.length > this.#targetSize && silentVoter !== undefined) {
			return {type: 'remove', nodeId: silentVoter.nodeId};
		}

		// The successor votes before its predecessor is dropped, so that there are never too few voters.
		const standby = standbys.find(nodeId => !wanted.includes(nodeId));
		const needsVoter = wanted.length < this.#targetSize || (wanted.length === this.#targetSize && silentVoter !== undefined);
		return needsVoter && standby !== undefined ? {type: 'add', nodeId: standby} : undefined;
	}
}
