import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';

/** Where a request goes; `predictedMs` is the predicted time to the first byte. */
export type RouteDecision =
	/** Send the request to this target now. */
	| {readonly type: 'target'; readonly targetId: TargetId; readonly predictedMs: number; readonly cachedTokens: number}
	/** Forward the request to an entry of this other region. */
	| {readonly type: 'away'; readonly region: Region; readonly predictedMs: number}
	/** The best target has no room now, but is predicted to answer within the deadline; `forPause` if all that may take the request pause. */
	| {readonly type: 'wait'; readonly predictedMs: number; readonly forPause?: boolean}
	| {readonly type: 'refuse'; readonly refusal: Refusal};
