import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';

/** Asks that a request which may not be repeated be claimed for one entry. */
export type ClaimRequest = {
	readonly requestId: RequestId;
	/** Scope of the key: firm, deployment, service and organisation. */
	readonly scope: string;
	readonly organisation: OrganisationId;
	readonly idempotencyKey: string;
	/** Digest of the content; the same key with other content is refused. */
	readonly fingerprint: string;
	readonly homeRegion: Region;
	/** How long the outcome is kept, in milliseconds. */
	readonly keepMs: number;
	/** Largest answer kept, in bytes. */
	readonly keepBytes: number;
};
