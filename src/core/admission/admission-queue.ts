import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';

/** Bounded queues of waiting requests, one per service: ordered by priority, then shared fairly between organisations. */
export interface AdmissionQueue {
	/** Queues a request that has to wait, or refuses it at once with a retry delay; `predictedMs` is the router's predicted wait. */
	enqueue(req: RequestInfo, settings: RouteSettings, predictedMs: number, now: Millis): {type: 'queued'} | {type: 'refused'; refusal: Refusal};
	/**
	 * The next waiting request of a service, without removing it; call `take` once it is dispatched.
	 * `skipped` holds requests that cannot be dispatched now: those behind them may fit other targets.
	 */
	peek(service: string, now: Millis, skipped?: ReadonlySet<RequestId>): RequestInfo | undefined;
	/** Removes a request that was dispatched, refused or abandoned. */
	take(requestId: RequestId): void;
	/** Charges a dispatched request to its organisation's share, whether it waited or not. */
	recordDispatch(req: RequestInfo, now: Millis): void;
	/** Removes the requests whose deadline has passed; returns them and those evicted from a full queue, with their refusals. */
	expire(now: Millis): ReadonlyArray<{req: RequestInfo; refusal: Refusal}>;
	/** Keys (`firm/deployment/service`) of services that have waiting requests. */
	waitingServices(): readonly string[];
	/** Number of waiting requests of a service. */
	depth(service: string): number;
}
