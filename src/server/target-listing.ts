import type {TargetView} from '../core/targets/target-view.ts';

/** The fields of a target that operators see. */
export function targetListing(target: TargetView) {
	const {
		targetId, announcement, inFlight, othersInFlight, limit, tokenMs, startMs, callMs, ejected,
	} = target;
	return {
		targetId, announcement, inFlight, othersInFlight, limit, tokenMs, startMs, callMs, ejected,
	};
}
