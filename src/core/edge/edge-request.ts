import type {BegunStream} from '../control/begun-stream.ts';
import type {CallerKey} from '../ids/caller-key.ts';
import type {ContentFingerprint} from '../ids/content-fingerprint.ts';
import type {KeyDigest} from '../ids/key-digest.ts';
import type {Millis} from '../ids/millis.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {Prompt} from './prompt.ts';

/** A caller's request as the core sees it: only the fields that routing and placement need; the body stays opaque. */
export type EdgeRequest = {
	readonly requestId: RequestId;
	/** The caller's own id of the request, for logs and for the choice among the services of a split route. */
	readonly callerKey: CallerKey;
	readonly host: string;
	readonly path: string;
	/** Equal for requests with the same method, host, path and body, whichever id the caller gave them. */
	readonly fingerprint: ContentFingerprint;
	readonly arrivedAt: Millis;
	/** Time that the caller waits for the answer, in milliseconds from `arrivedAt`. */
	readonly budgetMs?: number;
	/** Digest of the key that the caller sent. */
	readonly keyDigest?: KeyDigest;
	/** The organisation whose request it is, once that is known: by its key, or from the entry that forwarded it. Set before the request is placed. */
	readonly organisation?: OrganisationId;
	readonly prompt?: Prompt;
	/** Id of the last event that the caller received, if it resumes a stream. */
	readonly resumeAfter?: string;
	/** The caller's id of the request that brought the first event of the stream that it resumes. */
	readonly resumes?: CallerKey;
	/** Set if another entry forwarded the request. */
	readonly forwarded?: {
		readonly region: Region;
		/** Version of the routes document that the entry applied. */
		readonly documentVersion: number;
		/** True if the request may run more than once by that document; absent from builds that do not say so. */
		readonly isIdempotent?: boolean;
		/** Service that the entry chose; absent from builds that do not send it. */
		readonly service?: ServiceName;
		/** Where the stream began, if the caller has events of it. */
		readonly origin?: BegunStream;
	};
};
