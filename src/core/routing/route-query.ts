import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RegionView} from '../membership/region-view.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {TargetView} from '../targets/target-view.ts';

/** Input of a routing decision. */
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
	/** Requests of the service that wait at this entry, without this one. @default 0 */
	readonly waiting?: number;
	/** Targets and regions that are excluded, because the request tried them or may not use them. */
	readonly tried: {readonly targets: ReadonlySet<TargetId>; readonly regions: ReadonlySet<Region>};
	/** True if the request is suspected of crashing targets and must run alone. */
	readonly alone: boolean;
	/** Bytes that this node exchanged with remote regions in the last second. */
	readonly remoteBytesLastSecond: number;
};
