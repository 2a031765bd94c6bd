import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';

/** Failures in a row after which a target is ejected. */
const maxConsecutiveFailures = 4;

/** First ejection time; doubled with each further one. */
const baseEjectionMs = 5000;

/** Longest ejection time. */
const maxEjectionMs = 60_000;

/** Time without failures after which the ejection time starts small again. */
const backoffResetMs = 120_000;

/** Largest share of a service's targets ejected at once. */
const maxEjectedShare = 1 / 3;

/** Ejects targets of one service that fail again and again; bounded, and never the last one. */
export class OutlierEjector {
	readonly #states = new Map<TargetId, EjectionState>();

	/** Notes a failed attempt; true if the target is ejected by it. */
	recordFailure(targetId: TargetId, serving: number, now: Millis): boolean {
		const state = this.#state(targetId);
		state.consecutiveFailures += 1;
		if (state.consecutiveFailures < maxConsecutiveFailures || !this.#mayEject(serving, now)) {
			return false;
		}

		this.#eject(state, now);
		return true;
	}

	/** Notes a whole answer. */
	recordSuccess(targetId: TargetId): void {
		const state = this.#states.get(targetId);
		if (state) {
			state.consecutiveFailures = 0;
		}
	}

	/** True while the target is kept out of the choice. */
	isEjected(targetId: TargetId, now: Millis): boolean {
		const state = this.#states.get(targetId);
		return state !== undefined && state.ejectedUntil > now;
	}

	/** Forgets a target that is gone. */
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
