import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {ProbeAction} from './probe-action.ts';
import type {Reachability} from './reachability.ts';

/** A target that may be probed; `silentMs` as for `Reachability.needsProbe`. */
type ProbedTarget = {readonly targetId: TargetId; readonly address: string; readonly reachability: Reachability; readonly silentMs: number};

type TargetProberOptions = {
	/** The targets that serve by what is announced of them. */
	readonly targets: (now: Millis) => Iterable<ProbedTarget>;
	readonly reachability: (targetId: TargetId) => Reachability | undefined;
	readonly outbox: Outbox;
	readonly emit: (action: ProbeAction) => void;
};

/**
 * Finds out which targets this entry can reach, by opening a connection to those in doubt.
 *
 * An entry may lose its links to targets that others still hear, so their heartbeats and announcements prove nothing
 * here. Requests must not be used to find out: each would wait for the connection to time out, or be lost on one that
 * is already dead.
 */
export class TargetProber {
	readonly #options: TargetProberOptions;

	constructor(options: TargetProberOptions) {
		this.#options = options;
	}

	tick(now: Millis): void {
		for (const {targetId, address, reachability, silentMs} of this.#options.targets(now)) {
			if (reachability.needsProbe(silentMs, now)) {
				reachability.recordProbe(now);
				this.#options.emit({type: 'probe', targetId, address});
			}
		}
	}

	/** Records that a connection to a target could be opened, or could not. */
	recordConnection(targetId: TargetId, reachable: boolean, now: Millis): void {
		const {reachability, outbox} = this.#options;
		if (reachability(targetId)?.set(reachable, now)) {
			outbox.event(reachable ? 'target-reachable' : 'target-unreachable', {target: targetId});
		}
	}
}
