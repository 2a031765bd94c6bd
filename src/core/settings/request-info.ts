import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RoutePath} from './route-path.ts';

/** A caller's request without its body, which stays in the server. */
export type RequestInfo = {
	readonly requestId: RequestId;
	readonly path: RoutePath;
	readonly organisation: OrganisationId;
	/** SHA-256 of the caller's key, in hexadecimal, under which the tree has it. */
	readonly callerKey: string;
	/** Weight of the organisation in fair queueing. */
	readonly organisationWeight: number;
	/** `completion`: an engine generates tokens; `call`: a plain service responds. */
	readonly kind: 'completion' | 'call';
	readonly streamed: boolean;
	readonly model?: string;
	/** Regions that both the route and the caller's key allowed on arrival; undefined allows all. */
	readonly residency?: readonly Region[];
	/**
	 * Region that keeps the request's claim and answer: the caller's home region, else the route's, if residency allows
	 * it, else the entry's own region. Without one of the first two, a request that may not be repeated is refused,
	 * unless it was forwarded.
	 */
	readonly homeRegion: Region;
	readonly promptTokens: number;
	/** Digests of the prompt's prefixes, shortest first, each longer than the last by one block of tokens. */
	readonly prefixBlocks: readonly string[];
	/** Size of one prefix block, in tokens. */
	readonly prefixBlockTokens: number;
	/** Predicted output tokens. */
	readonly outputTokens: number;
	/** Digest over method, path, route, organisation and body; requests with equal fingerprints count as the same request. */
	readonly fingerprint: string;
	/** Digests of the prompt's messages but the last, which is the request's own; other requests to the service may have them too. */
	readonly promptParts: readonly string[];
	readonly idempotencyKey?: string;
	readonly priority: number;
	readonly arrivedAt: Millis;
	/** Deadline for the first byte of the answer. */
	readonly deadlineAt: Millis;
	readonly bodyBytes: number;
	/**
	 * Set if an entry of a remote region forwarded the request, which is then never forwarded again.
	 * `claimed` is set if that entry holds the claim of a request that may not be repeated.
	 */
	readonly forwardedBy?: {readonly nodeId: NodeId; readonly region: Region; readonly revision: number; readonly claimed?: boolean};
};
