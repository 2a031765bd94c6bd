import type {ConnectionUse} from '../common/connection-use.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {LeavingTarget} from './leaving-target.ts';
import type {TargetLoad} from './target-load.ts';

/** Status and headers of an answer that the core's decisions depend on. */
export type AnswerHead = {
	readonly status: number;
	/** True if the answer states that the request has not run. */
	readonly notRun: boolean;
	/** True if the answer carries the target's signature. */
	readonly signed: boolean;
	/** True if the body has neither a length nor chunks, so that it ends with its connection. */
	readonly unframed: boolean;
	/** True if the body is a stream of events, which may be passed on event by event. */
	readonly eventStream: boolean;
	/** Load that the target reported with the answer. */
	readonly load?: TargetLoad;
	/** True if the target reported a load that could not be read. */
	readonly hasUnreadableLoad?: boolean;
	/** Requests a second that the target takes from all entries together, for as long as its answers say so; undefined without a limit. */
	readonly limitPerSecond?: number;
	/** Requests a second that the target can reject for want of room before it falls over, for as long as its answers say so; undefined if it is not brittle. */
	readonly rejectionsPerSecond?: number;
	/** Set if the entry that the request was forwarded to refused it. */
	readonly refusedBy?: 'entry';
	/** Set if that entry had sent the request to a target, which turned it away. */
	readonly reachedTarget?: boolean;
	/** In the answer of another entry: software version of the target that answers. */
	readonly softwareVersion?: SoftwareVersion;
	/** Time for which the sender of the answer wants no further request, in milliseconds. */
	readonly retryAfterMs?: number;
	/** True if the target says that it leaves. */
	readonly leaving?: boolean;
	/** In the answer of another entry: the incarnation of a target of this region that answers and says that it leaves. */
	readonly leavingTarget?: LeavingTarget;
	/** The connection on which the answer came. */
	readonly use?: ConnectionUse;
	/** Names of headers whose values could not be read. */
	readonly unreadableHeaders?: readonly string[];
};
