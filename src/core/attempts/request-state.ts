import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {AttemptState} from './attempt-state.ts';
import type {KeptAttempt} from './kept-attempt.ts';

/** State of a request from its arrival to its final answer. */
export type RequestState = {
	readonly req: RequestInfo;
	/** `firm/deployment/service`. */
	readonly serviceKey: string;
	/** `firm/deployment/service/route`. */
	readonly routeKey: string;
	/** Whether the request may run more than once; fixed on arrival, so that a settings change cannot cause a second run. */
	readonly repeatable: boolean;
	/**
	 * `placing`: being routed; `claiming`: waits for the ledger; `parked`: waits outside the queue for a permit to run as
	 * a suspect, or for any target to resume on; `paused`: waits outside the queue for the end of a target's pause;
	 * `queued`: waits for a target with room; `running`: has an attempt.
	 */
	phase: 'placing' | 'claiming' | 'parked' | 'paused' | 'queued' | 'running';
	/** Who holds the claim of a non-repeatable request: this entry (`held`), the entry that forwarded it (`elsewhere`) or none. */
	claim: 'none' | 'held' | 'elsewhere';
	/** Number of attempts started. */
	attempts: number;
	/** Targets tried, by incarnation: a target may be tried again after a restart. */
	readonly triedTargets: Map<TargetId, number>;
	readonly triedRegions: Set<Region>;
	/** True until the ledger has reported whether an earlier request with the same idempotency key ran. */
	earlierRunPossible: boolean;
	/** False only while every attempt is known not to have reached a target. */
	mayHaveRun: boolean;
	/** True once bytes of an answer were delivered to the caller. */
	partiallyAnswered: boolean;
	/** Software version of the target that began a partial answer; undefined if it named none, or if another entry's target began it. */
	softwareVersion?: SoftwareVersion;
	/** Output tokens that earlier attempts delivered to the caller. */
	deliveredTokens: number;
	/** Time by which the next byte of the answer is due: the request's deadline, or later for a resumed answer. */
	deadlineAt: Millis;
	callerGone: boolean;
	/** When a parked request is dispatched again. */
	parkedUntil: Millis;
	/** Target for which a permit was requested and is still pending. */
	pendingPermitTarget?: TargetId;
	/** The first attempt. */
	first?: AttemptState;
	/** Why the request was last sent, or is to be sent, to another target, for logs; undefined before. */
	retryReason?: string;
	/** The attempt in flight; undefined outside the phase `running`. */
	attempt?: AttemptState;
	/** The attempt that the request fails over from; while it is in flight, the request is never refused. */
	kept?: KeptAttempt;
};
