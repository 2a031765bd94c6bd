import type {LogMember} from './log-member.ts';

/** Unique key of a member, for maps and recorded votes. */
export function memberKey({nodeId, storageId}: LogMember): string {
	return `${nodeId}#${storageId}`;
}
