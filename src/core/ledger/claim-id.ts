import type {NodeId} from '../ids/node-id.ts';

/** Identifies one try of one coordinator to claim a key; never used for a second try. */
export type ClaimId = {
	readonly coordinator: NodeId;
	/** Incarnation of the coordinator's process. */
	readonly incarnation: number;
	/** Counts the claims of one incarnation. */
	readonly number: number;
};
