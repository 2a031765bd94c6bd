import type {NodeId} from '../ids/node-id.ts';
import type {StorageId} from '../ids/storage-id.ts';

/** A member of the replicated log. A node with a new data folder is another member. */
export type LogMember = {
	readonly nodeId: NodeId;
	readonly storageId: StorageId;
};
