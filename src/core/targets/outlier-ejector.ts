import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';

/** Failures in a row after which a target is ejected. */
const failuresInRow = 4;

/** First ejection time; doubled with each further one. */
const firstEjectionMs = 5000;

/** Longest ejection time. */
const longestEjectionMs = 60_000;

/** Time without failures after which the ejection time starts small again. */
const forgiveMs = 120_000;

/** Largest share of a service's targets ejected at once. */
const largestShare = 1 / 3;

/** Ejects targets of one service that fail again and again; bounded, and never the last one. */
export class OutlierEjector {
	readonly #states = new Map<TargetId, EjectionState>();

	/** Notes a failed attempt; true if the target is ejected by it. */
	failed(targetId: TargetId, serving: number, now: Millis): boolean {
		const state = this.#state(targetId);
		state.failures += 1;
		if (state.failures < failuresInRow || !this.#mayEject(serving, now)) {
			return false;
		}

		this.#eject(state, now);
		return true;
	}

	/** Notes a whole answer. */
	succeeded(targetId: TargetId): void {
		const state = this.#states.get(targetId);
		if (state) {
			state.failures = 0;
		}
	}

	/** True while the target is kept out of the choice. */
	ejected(targetId: TargetId, now: Millis): boolean {
		const state = this.#states.get(targetId);
		return state !== undefined && state.until > now;
	}

	/** Forgets a target that is gone. */
	forget(targetId: TargetId): void {
		this.#states.delete(targetId);
	}

	#mayEject(serving: number, now: Millis): boolean {
		const ejected = [...this.#states.values()].filter(state => state.until > now).length;
		const most = Math.min(serving - 1, Math.max(1, Math.floor(serving * largestShare)));
		return ejected < most;
	}

	#eject(state: EjectionState, now: Millis): void {
		if (now - state.until > forgiveMs) {
			state.times = 0;
		}

		state.until = now + Math.min(longestEjectionMs, firstEjectionMs * (2 ** state.times)) as Millis;
		state.times += 1;
		state.failures = 0;
	}

	#state(targetId: TargetId): EjectionState {
		let state = this.#states.get(targetId);
		if (!state) {
			state = {failures: 0, times: 0, until: 0 as Millis};
			this.#states.set(targetId, state);
		}

		return state;
	}
}

type EjectionState = {
	failures: number;
	times: number;
	until: Millis;
};
