import type {NodeId} from '../ids/node-id.ts';

/** A requested change of the wanted voters; a replacement gives the vote of `leaving` to a learner that has caught up. */
export type MemberChange =
	| {readonly type: 'add' | 'remove'; readonly nodeId: NodeId}
	| {readonly type: 'replace'; readonly nodeId: NodeId; readonly leaving: NodeId};
