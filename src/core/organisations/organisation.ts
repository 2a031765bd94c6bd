import type {KeyDigest} from '../ids/key-digest.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import type {OrganisationQuota} from './organisation-quota.ts';

/** One organisation of the routes document: who may call, and what its requests get. */
export type Organisation = {
	readonly name: OrganisationId;
	/** Digests of its keys; a request with any of them is the organisation's. */
	readonly keyDigests: readonly KeyDigest[];
	/** Priority of its requests instead of the route's; 0 is the most urgent. */
	readonly priority?: number;
	/** Regions that may serve its requests, of those that the route allows; empty for all. */
	readonly homes: readonly Region[];
	/** Absent if its requests are not limited. */
	readonly quota?: OrganisationQuota;
};
