import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';

/** A request to claim an idempotency key, so that at most one entry runs the caller's request. */
export type ClaimRequest = {
	readonly requestId: RequestId;
	/** Scope of the key: firm, deployment, service and organisation. */
	readonly scope: string;
	readonly organisation: OrganisationId;
	readonly idempotencyKey: string;
	/** Digest of the content; the same key with other content is refused. */
	readonly fingerprint: string;
	readonly homeRegion: Region;
	/** Time for which the outcome is stored, in milliseconds. */
	readonly keepMs: number;
	/** Maximum size of a stored answer, in bytes. */
	readonly keepBytes: number;
};
