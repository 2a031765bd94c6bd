import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RouteRule} from '../routes/route-rule.ts';

/** Time for which idle connections to a service are avoided after one of them was reset, in milliseconds. */
const idleAvoidanceMs = 10_000;

/**
 * Decides which requests must not reuse an idle connection.
 *
 * Some targets drop idle connections without closing them: the next request on such a connection is reset, and one
 * that must not be retried is lost. Unsafe requests never reuse an idle connection; others avoid it for a while after
 * a reset by the service.
 */
export class IdleConnectionPolicy {
	readonly #avoidUntil = new Map<ServiceName, number>();

	/** Records that a request to the service was reset before its answer began. */
	recordReset(service: ServiceName, now: Millis): void {
		this.#avoidUntil.set(service, now + idleAvoidanceMs);
	}

	needsFreshConnection(route: RouteRule, service: ServiceName, now: Millis): boolean {
		return route.kind === 'unsafe' || (this.#avoidUntil.get(service) ?? 0) > now;
	}
}
