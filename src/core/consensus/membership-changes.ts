import type {NodeId} from '../ids/node-id.ts';
import type {Configuration} from './configuration.ts';
import {hasCaughtUp} from './has-caught-up.ts';
import type {LogMember} from './log-member.ts';
import type {PeerProgress} from './peer-progress.ts';

type Learner = Pick<PeerProgress, 'member' | 'matchIndex'>;

/** Replication state from which a leader derives the next configuration; `learners` are those that answer. */
type ReplicationProgress = {readonly learners: readonly Learner[]; readonly lastIndex: number; readonly learnerLag: number};

/**
 * Derives the next configuration: one voter more or fewer than the last, so that the majorities of
 * consecutive configurations overlap. A voter that lost its data folder is removed once its replacement
 * has caught up, and the replacement is added in a separate step.
 */
export class MembershipChanges {
	/** The configuration after a requested change of the wanted voters; undefined if it is not possible now. */
	applyRequest(current: Configuration, change: {type: 'add' | 'remove'; nodeId: NodeId}): Configuration | undefined {
		const {voters, wanted} = current;
		const known = wanted.includes(change.nodeId);
		if (change.type === 'add') {
			const additionPending = wanted.some(nodeId => !voters.some(voter => voter.nodeId === nodeId));
			return known || additionPending ? undefined : {voters, wanted: [...wanted, change.nodeId]};
		}

		return known && wanted.length > 1 ? {voters, wanted: wanted.filter(nodeId => nodeId !== change.nodeId)} : undefined;
	}

	/** The next configuration towards the wanted voters; undefined if there is none now. */
	next(current: Configuration, progress: ReplicationProgress): Configuration | undefined {
		const {voters, wanted} = current;
		const surplus = voters.find(voter => !wanted.includes(voter.nodeId)) ?? supersededVoter(current, progress);
		if (surplus !== undefined && voters.length > 1) {
			return {voters: voters.filter(voter => voter !== surplus), wanted};
		}

		const missing = caughtUpLearners(progress).find(({nodeId}) => wanted.includes(nodeId) && !voters.some(voter => voter.nodeId === nodeId));
		return missing === undefined ? undefined : {voters: [...voters, missing], wanted};
	}
}

/** A voter whose node has returned with another data folder that has caught up. */
function supersededVoter({voters}: Configuration, progress: ReplicationProgress): LogMember | undefined {
	const successors = caughtUpLearners(progress);
	return voters.find(voter => successors.some(({nodeId, storageId}) => nodeId === voter.nodeId && storageId !== voter.storageId));
}

function caughtUpLearners({learners, lastIndex, learnerLag}: ReplicationProgress): readonly LogMember[] {
	const caughtUp = learners.filter(({matchIndex}) => hasCaughtUp(matchIndex, lastIndex, learnerLag));
	return caughtUp.map(({member}) => member);
}
