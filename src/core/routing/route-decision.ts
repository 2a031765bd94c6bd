import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';

/** Outcome of one choice. */
export type RouteDecision =
	/** Send it to this target now. */
	| {readonly type: 'target'; readonly targetId: TargetId; readonly predictedMs: number; readonly cachedTokens: number}
	/** Forward it to an entry of this region. */
	| {readonly type: 'away'; readonly region: Region; readonly predictedMs: number}
	/** No target has room now; one is predicted to have within the deadline. */
	| {readonly type: 'wait'; readonly predictedMs: number}
	| {readonly type: 'refuse'; readonly refusal: Refusal};
