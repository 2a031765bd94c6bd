import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {AnswerHead} from './answer-head.ts';
import type {EdgeRequest} from './edge-request.ts';

/** The sending of a request that is under way. */
type RunningAttempt = {
	readonly attempt: AttemptNumber;
	readonly sentAt: Millis;
	/** Set for a target of this region. */
	readonly targetId?: TargetId;
	/** Set for another entry, of another region or one that places this region's prompts. */
	readonly forwardedTo?: {readonly region: Region; readonly address: string};
	/** Time to the first event or answer that was predicted, in milliseconds. */
	readonly predictedMs: number;
	head?: AnswerHead;
	/** Time of the newest event that was passed on. */
	lastProgressAt: Millis;
	events: number;
};

/** What an entry keeps of one request until its final answer. */
export type RequestRecord = {
	readonly req: EdgeRequest;
	readonly route: RouteRule;
	readonly service: ServiceName;
	/** The routes that were in force when the request came: it is handled under these to its end. */
	readonly table: RouteTable;
	readonly deadlineAt: Millis;
	running?: RunningAttempt;
	/** Targets that the request may have run on. */
	readonly mayHaveRunOn: Set<TargetId>;
	/** Targets that turned it away or failed it. */
	readonly excludedTargets: Set<TargetId>;
	/** Times that it was sent to targets or to other regions. */
	sends: number;
	/** Times that it was passed to another entry. */
	forwardCount: number;
	/** Times that another entry took it, which may have run it. */
	forwardedRuns: number;
	mayHaveRun: boolean;
	/** True if its next send is paid for out of the budget of repeats. */
	retryReserved: boolean;
	/** True once a head was passed to the caller: nothing but events may follow. */
	headPassed: boolean;
	/** Id of the last event that the caller has. */
	lastEventId?: string;
	/** Shortest time to come back that a target or region named, in milliseconds. */
	retryAfterMs?: number;
};
