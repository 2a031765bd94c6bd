import type {NodeId} from '../ids/node-id.ts';
import type {Configuration} from './configuration.ts';
import type {LogMember} from './log-member.ts';
import type {PeerProgress} from './peer-progress.ts';

type Learner = Pick<PeerProgress, 'member' | 'match'>;

/** What a leader knows when it looks for the next step. */
type ReplicationProgress = {readonly learners: readonly Learner[]; readonly lastIndex: number; readonly learnerLag: number};

/**
 * Decides the next configuration: one voter more or one less than the last, so that majorities of
 * consecutive configurations overlap. A member that lost its folder is removed once its successor
 * has caught up, and the successor is added in a step of its own.
 */
export class MembershipChanges {
	/** The configuration after an operator's command; undefined if it is not possible now. */
	applyCommand(current: Configuration, change: {type: 'add' | 'remove'; nodeId: NodeId}): Configuration | undefined {
		const {voters, wanted} = current;
		const known = wanted.includes(change.nodeId);
		if (change.type === 'add') {
			const additionPending = wanted.some(nodeId => !voters.some(voter => voter.nodeId === nodeId));
			return known || additionPending ? undefined : {voters, wanted: [...wanted, change.nodeId]};
		}

		return known && wanted.length > 1 ? {voters, wanted: wanted.filter(nodeId => nodeId !== change.nodeId)} : undefined;
	}

	/** The next step towards the wanted voters; undefined if there is none now. */
	next(current: Configuration, situation: ReplicationProgress): Configuration | undefined {
		const {voters, wanted} = current;
		const surplus = voters.find(voter => !wanted.includes(voter.nodeId)) ?? supersededVoter(current, situation);
		if (surplus !== undefined && voters.length > 1) {
			return {voters: voters.filter(voter => voter !== surplus), wanted};
		}

		const missing = caughtUpLearners(situation).find(({nodeId}) => wanted.includes(nodeId) && !voters.some(voter => voter.nodeId === nodeId));
		return missing === undefined ? undefined : {voters: [...voters, missing], wanted};
	}
}

/** A voter whose node came back with another folder, which has caught up. */
function supersededVoter({voters}: Configuration, situation: ReplicationProgress): LogMember | undefined {
	const successors = caughtUpLearners(situation);
	return voters.find(voter => successors.some(({nodeId, storageId}) => nodeId === voter.nodeId && storageId !== voter.storageId));
}

function caughtUpLearners({learners, lastIndex, learnerLag}: ReplicationProgress): readonly LogMember[] {
	const near = learners.filter(({match}) => match > 0 && lastIndex - match <= learnerLag);
	return near.map(({member}) => member);
}
