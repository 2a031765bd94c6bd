import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';

/** Decides where a request goes, from residency, health, earlier attempts, suspicion of crashes, capacity, predicted times and remote regions. */
export interface Router {
	choose(query: RouteQuery): RouteDecision;
}
