import type {TargetView} from '../core/targets/target-view.ts';

/** What operators are shown of a target. */
export function targetListing(target: TargetView) {
	const {
		targetId, announcement, inFlight, othersInFlight, limit, tokenMs, startMs, callMs, ejected,
	} = target;
	return {
		targetId, announcement, inFlight, othersInFlight, limit, tokenMs, startMs, callMs, ejected,
	};
}
