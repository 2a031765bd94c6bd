import type {Configuration} from './configuration.ts';
import type {LogMember} from './log-member.ts';

/** True if the node is a voter with this data folder. */
export function isVoter(configuration: Configuration | undefined, {nodeId, storageId}: LogMember): boolean {
	return configuration?.voters.some(voter => voter.nodeId === nodeId && voter.storageId === storageId) ?? false;
}
