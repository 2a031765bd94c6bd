import type {Region} from '../ids/region.ts';

/** All settings of a tree node, inherited ones and defaults included. */
export type RouteSettings = {
	/** Regions in which a request may be served; undefined allows all. */
	readonly residency?: readonly Region[];
	/** Region whose keepers store the claims of requests that may not be repeated. */
	readonly homeRegion?: Region;
	/** False if a request may run at most once. @default true */
	readonly repeatable: boolean;
	/** Longest time to the first byte of the answer, in milliseconds. @default 30_000 */
	readonly deadlineMs: number;
	/** Longest silence inside an answer, in milliseconds. @default 20_000 */
	readonly silenceMs: number;
	/** From 0 (first) to 9 (last). @default 5 */
	readonly priority: number;
	/** Model that targets must have loaded; undefined means the model named in the request. */
	readonly model?: string;
	/** Predicted gain that a forward to a remote region must exceed, in milliseconds; 1.5 times as much for the first forward. @default 200 */
	readonly awayPenaltyMs: number;
	/** Limit on request bytes forwarded to remote regions, in bytes per second and node. @default 2_000_000 */
	readonly awayBytesPerSecond: number;
	/** Largest number of requests in flight from one entry to one target. @default 64 */
	readonly targetConcurrency: number;
	/** Largest number of requests waiting at one entry for the service of the route. @default 256 */
	readonly queueLimit: number;
	/** Allowed retries as a share of requests. @default 0.1 */
	readonly retryBudget: number;
	/** Largest number of attempts for one request, the first included. @default 3 */
	readonly maxAttempts: number;
	/** Largest request body, in bytes. @default 4_194_304 */
	readonly maxBodyBytes: number;
	/** Predicted output tokens of a request, unless its own limit is lower. @default 256 */
	readonly expectedOutputTokens: number;
	/** How long stored answers of requests that may not be repeated can be replayed, in milliseconds. @default 86_400_000 */
	readonly answerKeepMs: number;
	/** Largest answer that is stored for replay, in bytes. @default 65_536 */
	readonly answerKeepBytes: number;
	/** Number of keepers (replicas that store claims) in the home region. @default 2 */
	readonly keepers: number;
	/** Caller keys by the SHA-256 of the key, in hexadecimal. */
	readonly callerKeys: Readonly<Record<string, CallerKey>>;
	/** Target keys by the SHA-256 of the key, in hexadecimal. */
	readonly targetKeys: Readonly<Record<string, {readonly name: string}>>;
	/** `honoured` if the deployment's engines refuse orders with an old fencing number. @default 'ignored' */
	readonly fencing: 'honoured' | 'ignored';
	/** Whether the deployment's engines check the sender of an order. @default false */
	readonly ordersChecked: boolean;
	/** Wanted number of targets with each model loaded, and the size of the model's weights in bytes, by model. */
	readonly models: Readonly<Record<string, {readonly replicas: number; readonly bytes: number}>>;
	/** Limit on reads from the weight store, which holds the weights of models, over the whole deployment, in bytes per second. @default 1_000_000_000 */
	readonly weightStoreBytesPerSecond: number;
};

/** Organisation of a caller key and its limits. */
type CallerKey = {
	readonly organisation: string;
	/** Narrows the route's residency; regions outside both are never used. */
	readonly residency?: readonly Region[];
	readonly homeRegion?: Region;
	/** Weight of the organisation in fair queueing. @default 1 */
	readonly weight?: number;
};
