import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';

/** Number of consecutive failures at which a target is ejected. */
const maxConsecutiveFailures = 4;

/** Duration of the first ejection, in milliseconds; each further one lasts twice as long. */
const baseEjectionMs = 5000;

/** Longest ejection, in milliseconds. */
const maxEjectionMs = 60_000;

/** Time since the end of the last ejection after which the duration starts at `baseEjectionMs` again, in milliseconds. */
const backoffResetMs = 120_000;

/** Largest share of a service's targets that may be ejected at the same time; at least one may be, if there are several. */
const maxEjectedShare = 1 / 3;

/** Outlier ejection for the targets of one service: ejects targets that fail repeatedly, up to a share of them and never the last one. */
export class OutlierEjector {
	readonly #states = new Map<TargetId, EjectionState>();

	/** Records a failed attempt; true if it causes the target's ejection. `serving` is the number of serving targets. */
	recordFailure(targetId: TargetId, serving: number, now: Millis): boolean {
		const state = this.#state(targetId);
		state.consecutiveFailures += 1;
		if (state.consecutiveFailures < maxConsecutiveFailures || !this.#mayEject(serving, now)) {
			return false;
		}

		this.#eject(state, now);
		return true;
	}

	/** Records a complete answer, which resets the count of consecutive failures. */
	recordSuccess(targetId: TargetId): void {
		const state = this.#states.get(targetId);
		if (state) {
			state.consecutiveFailures = 0;
		}
	}

	/** True while the target is ejected. */
	isEjected(targetId: TargetId, now: Millis): boolean {
		const state = this.#states.get(targetId);
		return state !== undefined && state.ejectedUntil > now;
	}

	/** Drops the state of a target that is gone. */
	forget(targetId: TargetId): void {
		this.#states.delete(targetId);
	}

	#mayEject(serving: number, now: Millis): boolean {
		const ejected = [...this.#states.values()].filter(state => state.ejectedUntil > now).length;
		const maxEjected = Math.min(serving - 1, Math.max(1, Math.floor(serving * maxEjectedShare)));
		return ejected < maxEjected;
	}

	#eject(state: EjectionState, now: Millis): void {
		if (now - state.ejectedUntil > backoffResetMs) {
			state.ejectionCount = 0;
		}

		state.ejectedUntil = now + Math.min(maxEjectionMs, baseEjectionMs * (2 ** state.ejectionCount)) as Millis;
		state.ejectionCount += 1;
		state.consecutiveFailures = 0;
	}

	#state(targetId: TargetId): EjectionState {
		let state = this.#states.get(targetId);
		if (!state) {
			state = {consecutiveFailures: 0, ejectionCount: 0, ejectedUntil: 0 as Millis};
			this.#states.set(targetId, state);
		}

		return state;
	}
}

type EjectionState = {
	consecutiveFailures: number;
	ejectionCount: number;
	ejectedUntil: Millis;
};
