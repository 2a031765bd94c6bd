import {AwakeClock} from '../common/awake-clock.ts';
import {overlapLimitMs} from '../common/overlap-limit-ms.ts';
import type {Millis} from '../ids/millis.ts';
import type {AttemptState} from './attempt-state.ts';
import type {RequestState} from './request-state.ts';

/** Measures for how long the two attempts of a request are at work at once, and bounds it. */
export class AttemptOverlaps {
	readonly #clock = new AwakeClock();
	#lostMs = 0;
	#lastTickAt = 0 as Millis;
	/** Time up to which all that the targets sent has been read. */
	#readUntil = 0 as Millis;

	/** To be called with each tick, before `isOver`. */
	tick(now: Millis): void {
		this.#clock.step(now);
		// Timers run before sockets are read: after a standstill, what came since the tick before is unread.
		this.#readUntil = this.#clock.lostMs > this.#lostMs ? this.#lastTickAt : now;
		this.#lostMs = this.#clock.lostMs;
		this.#lastTickAt = now;
	}

	/** The successor of a request's kept attempt is seen to work; what is read right after a standstill may be as old as that. */
	start({attempt, kept}: RequestState, now: Millis): void {
		if (attempt && kept) {
			const earliest = this.#readUntil < this.#lastTickAt ? this.#readUntil : now;
			kept.overlapsSince ??= Math.max(attempt.startedAt, earliest) as Millis;
		}
	}

	/** The successor has ended: another one starts an overlap of its own. */
	end({kept}: RequestState): void {
		if (kept) {
			kept.overlapsSince = undefined;
		}
	}

	/** True at a tick once a request's two attempts may no longer be at work at once. */
	isOver({attempt, kept}: RequestState): boolean {
		if (kept?.overlapsSince === undefined) {
			return false;
		}

		const hops = hopsOf(kept.attempt) + hopsOf(attempt!);
		return this.#readUntil - kept.overlapsSince >= overlapLimitMs(hops as 0 | 1 | 2);
	}

	/** Time for which a request's two attempts have been at work at once, in milliseconds; undefined if they have not. */
	lengthMs({kept}: RequestState, now: Millis): number | undefined {
		return kept?.overlapsSince === undefined ? undefined : Math.round(now - kept.overlapsSince);
	}
}

function hopsOf({destination}: AttemptState): number {
	return destination.type === 'peer' ? 1 : 0;
}
