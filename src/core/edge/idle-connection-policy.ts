import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RouteRule} from '../routes/route-rule.ts';

/** Time for which a service's idle connections are avoided after one of them was reset, in milliseconds. */
const idleAvoidanceMs = 10_000;

/**
 * Decides which requests must not go out on a connection that has rested.
 *
 * Answers targets that forget idle connections without a word: what is sent next on one is reset, and a request that
 * may not be repeated is lost. Unsafe requests never take one; others do until a service is seen to do it.
 */
export class IdleConnectionPolicy {
	readonly #avoidUntil = new Map<ServiceName, number>();

	/** A request to the service was reset before any answer came. */
	recordReset(service: ServiceName, now: Millis): void {
		this.#avoidUntil.set(service, now + idleAvoidanceMs);
	}

	needsFreshConnection(route: RouteRule, service: ServiceName, now: Millis): boolean {
		return route.kind === 'unsafe' || (this.#avoidUntil.get(service) ?? 0) > now;
	}
}
