import type {NodeId} from '../ids/node-id.ts';

/** The leader that a new one has followed, and the time of the last message from it on the new one's clock. */
export type PredecessorContact = {readonly nodeId: NodeId; readonly heardAt: number};
