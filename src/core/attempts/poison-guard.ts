import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {PoisonMessage} from './poison-message.ts';

/** Keeps requests that crash targets from crashing more than two of them over the whole installation. */
export interface PoisonGuard {
	/**
	 * `free`: run as usual; `alone`: a suspect, it runs only under a permit and where no other suspect runs;
	 * `refused`: it crashed two targets, come back later.
	 */
	classify(fingerprint: string, now: Millis): {type: 'free'} | {type: 'alone'} | {type: 'refused'; retryAfterMs: number};
	/** Targets that suspects of any node run on now, in this region; none of them may get another suspect. */
	targetsWithSuspects(now: Millis): ReadonlySet<TargetId>;
	/** Whether a target of this incarnation seems to have crashed and is not yet known to run on. */
	isCrashSuspected(targetId: TargetId, incarnation: number): boolean;
	/**
	 * Asks for the exclusive right to run a suspect on a target; call again with the same target until it is
	 * `granted`. `denied` means that the target or the content is taken: choose again later.
	 */
	requestPermit(fingerprint: string, targetId: TargetId, now: Millis): 'granted' | 'pending' | 'denied';
	/** Whether a peer is known to hold what this node knows of a suspect; tells the peer if it is not. */
	ensureInformed(fingerprint: string, nodeId: NodeId, now: Millis): boolean;
	/** An attempt starts on a target, suspect or not. */
	attemptStarted(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** An attempt on a target is over and proves nothing: it was cancelled or failed. */
	attemptStopped(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** A request ended whole on a target: it is no suspect any more. */
	attemptSucceeded(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** A target crashed, or seems to have, with these requests of this node in flight; they become suspects. */
	targetCrashed(targetId: TargetId, incarnation: number, fingerprints: readonly string[], now: Millis): void;
	/** A target that seemed to have crashed still runs as the same incarnation. */
	targetSurvived(targetId: TargetId, incarnation: number, now: Millis): void;
	handle(from: NodeId, message: PoisonMessage, now: Millis): void;
	tick(now: Millis): void;
}
