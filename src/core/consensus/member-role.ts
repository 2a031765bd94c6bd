import type {ConsensusStatus} from './consensus-status.ts';

type RoleInputs = {
	readonly stopped: boolean;
	readonly isLeader: boolean;
	/** True while the log is empty and no other member has reported a non-empty one. */
	readonly starting: boolean;
	readonly isVoter: boolean;
	readonly isCandidate: boolean;
};

/** Role of a member as operators see it. */
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
