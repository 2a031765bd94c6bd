import type {RouteRule} from '../routes/route-rule.ts';

/** True if requests of the route may run more than once: calls of safe routes, and streams that may be resumed. */
export function isIdempotent({kind, resumable}: Pick<RouteRule, 'kind' | 'resumable'>): boolean {
	return kind === 'safe' || (kind === 'stream' && resumable);
}
