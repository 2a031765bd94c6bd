import type {Candidate} from './candidate.ts';
import type {RouteQuery} from './route-query.ts';

/** State that the routing steps of one decision share. */
export type RoutingContext = {
	readonly query: RouteQuery;
	/** Remaining candidates; each step may remove some. */
	candidates: Candidate[];
	/** False if residency rules out this node's own region. */
	ownRegionAllowed: boolean;
	/** The candidate with the best score, whether it has room or not. */
	best?: Candidate;
};
