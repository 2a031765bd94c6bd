import type {ConsensusStatus} from './consensus-status.ts';

type RoleInputs = {
	readonly stopped: boolean;
	readonly isLeader: boolean;
	/** True for an empty folder while no history was seen anywhere. */
	readonly starting: boolean;
	readonly isVoter: boolean;
	readonly isCandidate: boolean;
};

/** The role of a member as operators see it. */
export function memberRole({stopped, isLeader, starting, isVoter, isCandidate}: RoleInputs): ConsensusStatus['role'] {
	if (stopped) {
		return 'stopped';
	}

	if (isLeader) {
		return 'leader';
	}

	if (starting) {
		return 'starting';
	}

	if (!isVoter) {
		return 'learner';
	}

	return isCandidate ? 'candidate' : 'follower';
}
