import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {Prompt} from './prompt.ts';

/** A caller's request as the core sees it: opaque but for what decides where it goes. */
export type EdgeRequest = {
	readonly requestId: RequestId;
	/** The caller's own id of the request, for logs and for the choice among split services. */
	readonly callerKey: string;
	readonly host: string;
	readonly path: string;
	readonly arrivedAt: Millis;
	/** How long the caller waits, in milliseconds from `arrivedAt`. */
	readonly budgetMs?: number;
	readonly prompt?: Prompt;
	/** Id of the last event that the caller has of a stream that it takes up again. */
	readonly resumeAfter?: string;
	/** Set if an entry of another region passed the request on. */
	readonly forwarded?: {readonly region: Region; readonly documentVersion: number};
};
