import type {Millis} from '../ids/millis.ts';
import type {RequestInfo} from '../settings/request-info.ts';

/** A request in an admission queue. */
export type WaitingRequest = {
	readonly req: RequestInfo;
	readonly enqueuedAt: Millis;
};
