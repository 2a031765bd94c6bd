import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RegionView} from '../membership/region-view.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {TargetView} from '../targets/target-view.ts';

/** All that one choice is made from. */
export type RouteQuery = {
	readonly req: RequestInfo;
	readonly settings: RouteSettings;
	readonly now: Millis;
	/** This node's region. */
	readonly region: Region;
	/** Serving targets of the service in this region. */
	readonly targets: readonly TargetView[];
	/** The other regions. */
	readonly regions: readonly RegionView[];
	/** Requests of the service that wait at this entry, the one at hand not counted. @default 0 */
	readonly waiting?: number;
	/** Targets and regions that this request tried already. */
	readonly tried: {readonly targets: ReadonlySet<TargetId>; readonly regions: ReadonlySet<Region>};
	/** True if the request is suspected of crashing targets and must run alone. */
	readonly alone: boolean;
	/** Bytes that this node sent away in the last second. */
	readonly remoteBytesLastSecond: number;
};
