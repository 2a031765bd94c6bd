import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RoutePath} from './route-path.ts';

/** What the core knows of a caller's request; the body stays with the server. */
export type RequestInfo = {
	readonly requestId: RequestId;
	readonly path: RoutePath;
	readonly organisation: OrganisationId;
	/** Weight of the organisation in fair queueing. */
	readonly organisationWeight: number;
	/** `completion` is answered by an engine in tokens, `call` by a plain service. */
	readonly kind: 'completion' | 'call';
	readonly streamed: boolean;
	readonly model?: string;
	/** Regions allowed by route and caller together; undefined allows all. */
	readonly residency?: readonly Region[];
	/** Home of claims: the caller's, else the route's, else the entry's own region. */
	readonly homeRegion: Region;
	readonly promptTokens: number;
	/** Digests of growing prefixes of the prompt, shortest first, one for each block of tokens. */
	readonly prefixBlocks: readonly string[];
	/** Tokens that one prefix block stands for. */
	readonly prefixBlockTokens: number;
	/** Predicted output tokens. */
	readonly outputTokens: number;
	/** Digest over method, path and body: same content has the same one. */
	readonly fingerprint: string;
	readonly idempotencyKey?: string;
	readonly priority: number;
	readonly arrivedAt: Millis;
	/** Time by which the first byte of the answer is wanted. */
	readonly deadlineAt: Millis;
	readonly bodyBytes: number;
	/**
	 * Set if an entry of another region forwarded it: it is never forwarded again.
	 * `claimed` is set if that entry holds the claim of a request that may not be repeated.
	 */
	readonly forwardedBy?: {readonly nodeId: NodeId; readonly region: Region; readonly revision: number; readonly claimed?: boolean};
};
