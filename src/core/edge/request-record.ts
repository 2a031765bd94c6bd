import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {QuotaCharge} from '../organisations/quota/quota-charge.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {AnswerHead} from './answer-head.ts';
import type {EdgeRequest} from './edge-request.ts';
import type {StreamOrigin} from './stream-origin.ts';

/** An attempt that is in progress. */
type RunningAttempt = {
	readonly attempt: AttemptNumber;
	readonly sentAt: Millis;
	/** Set for a target of this region. */
	readonly targetId?: TargetId;
	/** Start of the incarnation that it was sent to. */
	readonly targetBorn?: number;
	/** Software version of that target. */
	readonly softwareVersion?: SoftwareVersion;
	/** Set if the attempt was forwarded: to an entry of a remote region, or to a placer of this region. */
	readonly forwardedTo?: {readonly region: Region; readonly address: string};
	/** Predicted time to the first event of a stream or to the answer of a call, in milliseconds. */
	readonly predictedMs: number;
	head?: AnswerHead;
	/** Time at which the attempt was sent, or at which its head or newest event arrived. */
	lastProgressAt: Millis;
	/** The same on the clock that stops while this process stands still. */
	lastProgressAwakeAt: Millis;
	events: number;
	/** Time of the first sign that its target works on it, the head of a successful answer; the earliest possible one if it lay unread. */
	workingSince?: Millis;
	/** True while its answer is not read, since the caller takes no more of it: the silence is not the target's. */
	isHeld?: boolean;
};

/** State of one request at an entry until its final answer. */
export type RequestRecord = {
	readonly req: EdgeRequest;
	readonly route: RouteRule;
	/** Priority of the request's organisation, else of its route; 0 is the most urgent. */
	readonly priority: number;
	/** Chosen when the request arrives; a stream that is taken up stays with the service that began it. */
	service: ServiceName;
	/** Routes in force when the request arrived; a newer document does not change how it is handled. */
	readonly table: RouteTable;
	/** Time by which it must have its final answer; a stop of the entry may bring it forward. */
	deadlineAt: Millis;
	/** True if the stop of the entry set `deadlineAt`: other entries may have more time. */
	cutByStop: boolean;
	/** The attempt that was sent last, or that brought the event being handled. */
	running?: RunningAttempt;
	/** Further attempts in progress, all silent when the last one was sent: each is kept until another one answers, or has been seen to work for a while. */
	readonly kept: RunningAttempt[];
	/** Targets that the request may have run on. */
	readonly mayHaveRunOn: Set<TargetId>;
	/** Targets that refused the request or failed; it is not placed on them again. */
	readonly excludedTargets: Set<TargetId>;
	/** The attempt before which the request had run nowhere, and why it was sent. */
	first?: {readonly attempt: RunningAttempt; readonly reason: string};
	/** Number of attempts after that one. */
	resends: number;
	/** Why the next attempt is sent: what became of the last one. */
	resendReason?: string;
	/** Number of attempts at targets and other entries, without those that could not be sent and those that another entry refused before it reached a target. */
	sends: number;
	/** Number of times it was forwarded to another entry. */
	forwardCount: number;
	/** Forwarded attempts after which it may have run. */
	readonly forwardedRuns: Set<AttemptNumber>;
	mayHaveRun: boolean;
	/** True once it has added to the retry budget. */
	counted: boolean;
	/** True if its next attempt is already charged to the retry budget. */
	retryReserved: boolean;
	/** True once a retry of it did not fit the retry budget. */
	retryRefused: boolean;
	/** True if its next attempt is a trial of a contained trait. */
	isTrial: boolean;
	/** True once the caller has the head of an answer: only events of the stream may follow. */
	headPassed: boolean;
	/** Number of events that this entry has passed to the caller. */
	passedEvents: number;
	/** Why the last attempt that failed did. */
	lastFailure?: string;
	/** Id of the last event that the caller has, from this request or, if it resumes a stream, from an earlier one. */
	lastEventId?: string;
	/** Origin of the stream, once the caller has an event of it. */
	origin?: StreamOrigin;
	/** What its organisation's quota was charged. */
	charge?: QuotaCharge;
	/** Retry delay to report to the caller, from the refusals seen so far, in milliseconds. */
	retryAfterMs?: number;
};
