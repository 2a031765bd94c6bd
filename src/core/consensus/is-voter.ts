import type {Configuration} from './configuration.ts';
import type {LogMember} from './log-member.ts';

/** True if this incarnation of a member votes. */
export function isVoter(configuration: Configuration | undefined, {nodeId, storageId}: LogMember): boolean {
	return configuration?.voters.some(voter => voter.nodeId === nodeId && voter.storageId === storageId) ?? false;
}
