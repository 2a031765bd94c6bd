import type {ActionQueue} from '../action-queue.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {EdgeAction} from './edge-action.ts';
import type {TargetPool} from './target-pool.ts';

type TargetProberOptions = {
	readonly pool: TargetPool;
	readonly queue: ActionQueue<EdgeAction>;
};

/**
 * Finds out which targets this entry can reach, by opening a connection to those in doubt.
 *
 * An entry may lose its links to targets that control and other entries still hear, so their heartbeats prove nothing
 * here. Requests must not be used to find out: each would wait for the connection to time out, or be lost on one that
 * is already dead.
 */
export class TargetProber {
	readonly #options: TargetProberOptions;

	constructor(options: TargetProberOptions) {
		this.#options = options;
	}

	tick(now: Millis): void {
		const {pool, queue} = this.#options;
		for (const target of pool.all()) {
			if (target.needsProbe(now)) {
				const {targetId, address} = target.listed;
				target.recordProbeSent(now);
				queue.push({type: 'probe', targetId, address});
			}
		}
	}

	/** Records that a connection to a target could be opened, or could not. */
	recordConnection(targetId: TargetId, reachable: boolean, now: Millis): void {
		const {pool, queue} = this.#options;
		if (pool.get(targetId)?.setReachable(reachable, now)) {
			queue.event(reachable ? 'target-reachable' : 'target-unreachable', {target: targetId});
		}
	}
}
