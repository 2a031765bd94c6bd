import type {Region} from '../ids/region.ts';

/** All settings of a tree node after inheritance; what the rest of the core takes. */
export type RouteSettings = {
	/** Regions in which a request may be served; undefined allows all. */
	readonly residency?: readonly Region[];
	/** Region whose entries keep the claims of requests that may not be repeated. */
	readonly homeRegion?: Region;
	/** False if a request may run at most once. @default true */
	readonly repeatable: boolean;
	/** Longest time to the first byte of the answer, in milliseconds. @default 30_000 */
	readonly deadlineMs: number;
	/** Longest silence inside an answer, in milliseconds. @default 20_000 */
	readonly silenceMs: number;
	/** From 0 (first) to 9 (last). @default 5 */
	readonly priority: number;
	/** Model that targets must have loaded; undefined takes the request's own. */
	readonly model?: string;
	/** Milliseconds of predicted gain below which a request stays in its region. @default 200 */
	readonly awayPenaltyMs: number;
	/** Largest share of a region's bytes a second sent away, in bytes per second and node. @default 2_000_000 */
	readonly awayBytesPerSecond: number;
	/** Largest number of requests in flight from one entry to one target. @default 64 */
	readonly targetConcurrency: number;
	/** Largest number of requests waiting at one entry for this service. @default 256 */
	readonly queueLimit: number;
	/** Retries allowed as a share of requests. @default 0.1 */
	readonly retryBudget: number;
	/** Attempts for one request, the first included. @default 3 */
	readonly maxAttempts: number;
	/** @default 4_194_304 */
	readonly maxBodyBytes: number;
	/** Output tokens assumed where the request does not say. @default 256 */
	readonly expectedOutputTokens: number;
	/** How long kept answers of requests that may not be repeated are replayed, in milliseconds. @default 86_400_000 */
	readonly answerKeepMs: number;
	/** Largest answer that is kept, in bytes. @default 65_536 */
	readonly answerKeepBytes: number;
	/** Members of the set that keeps claims in the home region. @default 2 */
	readonly keepers: number;
	/** Caller keys by the SHA-256 of the key, in hexadecimal. */
	readonly callerKeys: Readonly<Record<string, CallerKey>>;
	/** Target keys by the SHA-256 of the key, in hexadecimal. */
	readonly targetKeys: Readonly<Record<string, {readonly name: string}>>;
	/** Whether the deployment's engines refuse orders with an old fencing number. @default 'ignored' */
	readonly fencing: 'honoured' | 'ignored';
	/** Whether the deployment's engines check the sender of an order. @default false */
	readonly ordersChecked: boolean;
	/** Wanted number of targets that have a model loaded, by model. */
	readonly models: Readonly<Record<string, {readonly replicas: number; readonly bytes: number}>>;
	/** Loads from the weight store over the whole deployment, in bytes per second. @default 1_000_000_000 */
	readonly weightStoreBytesPerSecond: number;
};

/** What a caller key stands for. */
type CallerKey = {
	readonly organisation: string;
	/** Narrows the route's residency; regions outside both are never used. */
	readonly residency?: readonly Region[];
	readonly homeRegion?: Region;
	/** Share in fair queueing relative to others. @default 1 */
	readonly weight?: number;
};
