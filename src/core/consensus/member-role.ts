import type {ConsensusStatus} from './consensus-status.ts';

type RoleFacts = {
	readonly stopped: boolean;
	readonly leads: boolean;
	/** True for an empty folder while no history was seen anywhere. */
	readonly starting: boolean;
	readonly votes: boolean;
	readonly stands: boolean;
};

/** The role of a member as operators see it. */
export function memberRole({stopped, leads, starting, votes, stands}: RoleFacts): ConsensusStatus['role'] {
	if (stopped) {
		return 'stopped';
	}

	if (leads) {
		return 'leader';
	}

	if (starting) {
		return 'starting';
	}

	if (!votes) {
		return 'learner';
	}

	return stands ? 'candidate' : 'follower';
}
