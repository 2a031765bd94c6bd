import type {NodeId} from '../ids/node-id.ts';

/** Answer to an operator's change of the members of the replicated log. A refusal names the leader's address, if known, and the node whose addition has to be completed or withdrawn first; `isOutdated` if the members have changed since the operator saw them. */
export type MembersAnswer = {readonly type: 'started'} | {readonly type: 'refused'; readonly leader?: string; readonly pending?: NodeId; readonly isOutdated?: true};
