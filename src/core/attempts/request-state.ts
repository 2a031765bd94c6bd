import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {AttemptState} from './attempt-state.ts';

/** One request from its arrival to its final answer. */
export type RequestState = {
	readonly req: RequestInfo;
	/** `firm/deployment/service`. */
	readonly serviceKey: string;
	/** `firm/deployment/service/route`. */
	readonly routeKey: string;
	/** Decided at the arrival, so that a later settings change cannot cause a second run. */
	readonly repeatable: boolean;
	/** `claiming` waits for the ledger, `parked` for a permit to run as a suspect or for any target, `queued` for room. */
	phase: 'placing' | 'claiming' | 'parked' | 'queued' | 'running';
	/** Claim of a request that may not be repeated: held by this entry, by the entry that forwarded it, or by none. */
	claim: 'none' | 'held' | 'elsewhere';
	attempts: number;
	/** Targets tried, with the incarnation: one that was restarted since may be tried again. */
	readonly triedTargets: Map<TargetId, number>;
	readonly triedRegions: Set<Region>;
	/** True while the ledger has not said whether an earlier sending of the same request ran. */
	earlierRunPossible: boolean;
	/** False only while every attempt is known not to have reached a target. */
	mayHaveRun: boolean;
	/** True once bytes of an answer were passed on to the caller. */
	partiallyAnswered: boolean;
	/** Output tokens that earlier attempts passed on. */
	deliveredTokens: number;
	/** Time by which the next byte of the answer is wanted: the request's deadline, later for a resumed answer. */
	deadlineAt: Millis;
	callerGone: boolean;
	/** Next try to place a parked request. */
	parkedUntil: Millis;
	/** Target that a permit is being asked for. */
	pendingPermitTarget?: TargetId;
	/** The attempt that owns the request; undefined outside the phase `running`. */
	attempt?: AttemptState;
};
