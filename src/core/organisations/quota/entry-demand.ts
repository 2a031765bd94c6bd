import type {OrganisationUse} from './organisation-use.ts';

/** Measured demand of organisations at one entry: those with a notable part of their quota. */
export type EntryDemand = {
	/** Distinguishes the runs of the entry's process: what an earlier run sent still counts. */
	readonly run: number;
	/** True if demand rose so much that other entries should know at once. */
	readonly urgent?: boolean;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
	readonly organisations: readonly OrganisationUse[];
};
