import type {NodeId} from '../ids/node-id.ts';

/** Identifies one attempt of one coordinator to claim a key; a retry in another epoch gets a new id. */
export type ClaimId = {
	readonly coordinator: NodeId;
	/** Incarnation of the coordinator's process. */
	readonly incarnation: number;
	/** Sequence number within the incarnation. */
	readonly number: number;
};
