import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {PoisonMessage} from './poison-message.ts';

/** Keeps requests that crash targets from crashing more than two of them over the whole installation. */
export interface PoisonGuard {
	/** `free`: run as usual; `alone`: only where no other suspect runs; `refused`: it crashed two targets, come back later. */
	verdict(fingerprint: string, now: Millis): {type: 'free'} | {type: 'alone'} | {type: 'refused'; retryAfterMs: number};
	/** Targets that suspects of any node run on now, in this region; none of them may get another suspect. */
	occupied(now: Millis): ReadonlySet<TargetId>;
	/** A suspect starts on a target. */
	started(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** A request ended whole on a target: it is no suspect any more. */
	cleared(fingerprint: string, targetId: TargetId, now: Millis): void;
	/** A target crashed with these requests of this node in flight; several become suspects. */
	crashed(targetId: TargetId, incarnation: number, fingerprints: readonly string[], now: Millis): void;
	handle(from: NodeId, message: PoisonMessage, now: Millis): void;
	tick(now: Millis): void;
}
