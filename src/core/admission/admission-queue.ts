import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';

/** Bounded queues of waiting requests, one for each service: by priority, then fair between organisations. */
export interface AdmissionQueue {
	/** Queues a request that the router told to wait, or refuses it at once with when to come back. */
	enqueue(req: RequestInfo, settings: RouteSettings, predictedMs: number, now: Millis): {type: 'queued'} | {type: 'refused'; refusal: Refusal};
	/**
	 * The next waiting request of a service, left in the queue; call `take` once it is placed.
	 * `passed` names requests that the router told to wait on: those behind them may fit elsewhere.
	 */
	peek(service: string, now: Millis, skipped?: ReadonlySet<RequestId>): RequestInfo | undefined;
	/** Removes a request from its queue: placed, refused or abandoned. */
	take(requestId: RequestId): void;
	/** Notes that a request was placed, for the organisations' shares; called for queued and direct ones alike. */
	recordDispatch(req: RequestInfo, now: Millis): void;
	/** Waiting requests whose deadline cannot be met any more, removed from the queue, with their refusals. */
	expire(now: Millis): ReadonlyArray<{req: RequestInfo; refusal: Refusal}>;
	/** Keys (`firm/deployment/service`) of services that have waiting requests. */
	waitingServices(): readonly string[];
	/** Waiting requests of a service. */
	depth(service: string): number;
}
