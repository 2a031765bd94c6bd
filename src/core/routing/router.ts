import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';

/** Chooses where a request goes: residency, health, poison, limits, score, away. */
export interface Router {
	choose(query: RouteQuery): RouteDecision;
}
