import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {PoisonMessage} from './poison-message.ts';

/**
 * Limits a request that crashes targets to two crashes over the whole installation. Requests are identified by the
 * fingerprint of their content; a request in flight on a target when it crashed is a suspect. The parts of its prompt
 * have fingerprints too (`partFingerprint`): after three crashes, all requests with such a part are refused.
 */
export interface PoisonGuard {
	/**
	 * How a request may run. `free`: without restriction; `alone`: it is a suspect and runs only under a permit, on a
	 * target without another suspect; `refused`: it crashed two targets and is refused for `retryAfterMs`.
	 */
	classify(fingerprint: string, now: Millis): {type: 'free'} | {type: 'alone'} | {type: 'refused'; retryAfterMs: number};
	/** Targets of this region that run a suspect, of any node, or are reserved for one; they may not get another suspect. */
	targetsWithSuspects(now: Millis): ReadonlySet<TargetId>;
	/** Whether this incarnation of a target may have crashed and is not yet known to have survived. */
	isCrashSuspected(targetId: TargetId, incarnation: number): boolean;
	/**
	 * Requests the exclusive right to run a suspect on a target; call again with the same target while it is
	 * `pending`. `denied` means that the target or the content is taken: route the request again later.
	 */
	requestPermit(fingerprint: string, targetId: TargetId, now: Millis): 'granted' | 'pending' | 'denied';
	/** Whether a node has acknowledged this node's record of a suspect; sends it the record if not. */
	ensureInformed(fingerprint: string, nodeId: NodeId, now: Millis): boolean;
	/** An attempt of any request, suspect or not, starts on a target. */
	attemptStarted(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** An attempt on a target ended, whatever its outcome. */
	attemptStopped(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** A request got its complete answer from a target: it is not a suspect any more. */
	attemptSucceeded(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** A target may have crashed with these requests of this node in flight; they become suspects. */
	targetCrashed(targetId: TargetId, incarnation: number, fingerprints: readonly string[], now: Millis): void;
	/** A target that may have crashed still runs as the same incarnation. */
	targetSurvived(targetId: TargetId, incarnation: number, now: Millis): void;
	handle(from: NodeId, message: PoisonMessage, now: Millis): void;
	tick(now: Millis): void;
}
