import type {LogMember} from './log-member.ts';

/** Text that tells members apart, for maps and votes. */
export function memberKey({nodeId, storageId}: LogMember): string {
	return `${nodeId}#${storageId}`;
}
