import type {Configuration} from './configuration.ts';
import {hasCaughtUp} from './has-caught-up.ts';
import type {LogMember} from './log-member.ts';
import type {MemberChange} from './member-change.ts';
import {memberKey} from './member-key.ts';
import type {ReplicationProgress} from './replication-progress.ts';

/**
 * Derives the next configuration, whose majorities overlap with those of the last one: one voter more or fewer, or the
 * two steps of a replacement. A voter that lost its data folder is removed once its successor has caught up, and the
 * successor is added in a separate step.
 */
export class MembershipChanges {
	/** The configuration after a requested change of the wanted voters; undefined if it is not possible now. */
	applyRequest(current: Configuration, change: MemberChange, progress: ReplicationProgress): Configuration | undefined {
		const {voters, wanted, replacement} = current;
		if (replacement !== undefined) {
			return undefined;
		}

		if (change.type === 'replace') {
			return replaceVoter(current, change, progress);
		}

		const known = wanted.includes(change.nodeId);
		if (change.type === 'add') {
			const additionPending = wanted.some(nodeId => !voters.some(voter => voter.nodeId === nodeId));
			return known || additionPending ? undefined : {voters, wanted: [...wanted, change.nodeId]};
		}

		return known && wanted.length > 1 ? {voters, wanted: wanted.filter(nodeId => nodeId !== change.nodeId)} : undefined;
	}

	/** The next configuration towards the wanted voters; undefined if there is none now. */
	next(current: Configuration, progress: ReplicationProgress): Configuration | undefined {
		const {voters, wanted, replacement} = current;
		if (replacement !== undefined) {
			return {voters: voters.filter(voter => memberKey(voter) !== memberKey(replacement.leaving)), wanted};
		}

		const surplus = voters.find(voter => !wanted.includes(voter.nodeId)) ?? supersededVoter(current, progress);
		if (surplus !== undefined && voters.length > 1) {
			return {voters: voters.filter(voter => voter !== surplus), wanted};
		}

		const missing = caughtUpLearners(progress).find(({nodeId}) => wanted.includes(nodeId) && !voters.some(voter => voter.nodeId === nodeId));
		return missing === undefined ? undefined : {voters: [...voters, missing], wanted};
	}
}

/** The first step of a replacement, in which both nodes vote; the next one ends it whether the new voter is still there or not. */
function replaceVoter({voters, wanted}: Configuration, change: MemberChange & {type: 'replace'}, progress: ReplicationProgress): Configuration | undefined {
	const leaving = voters.find(({nodeId}) => nodeId === change.leaving);
	const joining = caughtUpLearners(progress).find(({nodeId}) => nodeId === change.nodeId);
	const isSettled = voters.length === wanted.length && voters.every(({nodeId}) => wanted.includes(nodeId) && nodeId !== change.nodeId);
	return isSettled && leaving !== undefined && joining !== undefined
		? {
			voters: [...voters, joining],
			wanted: wanted.map(nodeId => nodeId === change.leaving ? change.nodeId : nodeId),
			replacement: {leaving, joining},
		}
		: undefined;
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
