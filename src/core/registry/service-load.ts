import type {ServiceCostSummary} from '../cost/service-cost-summary.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';

/** Load of one service as an entry reports it: how soon it could start a request at a target of its region. */
export type ServiceLoad = {
	readonly service: ServiceName;
	/** Number of targets that may get requests now. */
	readonly targets: number;
	/** Software versions of these targets, each once; absent in the loads of builds that don't report them. */
	readonly softwareVersions?: readonly SoftwareVersion[];
	/** Number of this entry's requests at those targets. */
	readonly inFlight: number;
	/** Number of requests that wait at this entry. */
	readonly waiting: number;
	/** Predicted time until a new request starts, in milliseconds. */
	readonly startMs: number;
	/** Estimated cost of placing a request there beyond `startMs`, in milliseconds. */
	readonly extraMs: number;
	/** What the entry has measured of the service's targets; absent without measurements, and in the loads of builds that don't report it. */
	readonly costs?: ServiceCostSummary;
};
