import type {KeyDigest} from '../../core/ids/key-digest.ts';
import type {Prompt} from '../../core/edge/prompt.ts';

/** What the request line and the headers of a caller's request state. */
export type RequestHead = {
	readonly method: string;
	/** Path with query, as received. */
	readonly path: string;
	readonly host: string;
	/** The caller's own id of the request, which the answer of a target may name; empty if it sends none. */
	readonly key: string;
	/** Time that the caller waits for the answer, in milliseconds. */
	readonly budgetMs?: number;
	/** Digest of the key with which the caller identifies its organisation. */
	readonly keyDigest?: KeyDigest;
	readonly prompt?: Prompt;
	/** Id of the last event that the caller has received. */
	readonly resumeAfter?: string;
	/** The caller's id of the request that brought the first event of the stream that it resumes. */
	readonly resumes?: string;
	/** Headers that are copied to the request to a target, as alternating names and values: without hop-by-hop headers and those that only the gateway may set. */
	readonly copiedHeaders: readonly string[];
	/** Headers that may carry the caller's key or name its organisation, in the same form; they are copied only where no organisations are configured. */
	readonly credentialHeaders: readonly string[];
};
