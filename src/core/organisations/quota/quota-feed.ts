import type {OrganisationUse} from './organisation-use.ts';

/** What a control node tells one entry about the quotas: use at all other entries. */
export type QuotaFeed = {
	/** Entries that share the quotas, with the receiver and with those that are silent. */
	readonly entries: number;
	/** Those among them that have not been heard for a while: they may be cut off and use their safe share. */
	readonly silent: number;
	/** Age of the sums, in milliseconds. */
	readonly ageMs: number;
	/** Organisations with a notable use at other entries. */
	readonly organisations: readonly OrganisationUse[];
};
