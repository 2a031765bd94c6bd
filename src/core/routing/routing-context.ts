import type {Candidate} from './candidate.ts';
import type {RouteQuery} from './route-query.ts';

/** What the steps of one choice pass on to each other. */
export type RoutingContext = {
	readonly query: RouteQuery;
	/** Targets that are still possible; each step may remove some. */
	candidates: Candidate[];
	/** False if residency rules out this node's own region. */
	ownRegionAllowed: boolean;
	/** The best candidate by score, room or not. */
	best?: Candidate;
};
