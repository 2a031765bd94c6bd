import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';

/** Time without a sign of a target that has attempts in progress after which it is probed, in milliseconds. */
const silenceBeforeProbeMs = 1000;
/** Interval between two probes of a silent target, in milliseconds. */
const silentProbeIntervalMs = 2000;
/** Interval between two probes of a target that could not be reached, in milliseconds. */
const unreachableProbeIntervalMs = 1000;
/** Time without a successful connection after which a target is confirmed out of reach, in milliseconds: a single failure may be a lost packet, and the probe that follows tells. */
const confirmMs = 800;

/** Whether this entry can open connections to one target, whatever others hear of the target. */
export class Reachability {
	/** Stepped on each tick on which the target may be probed. */
	readonly #awake = new AwakeClock();
	/** Time of the first failed connection since the last that succeeded, or of a later standstill before it was confirmed; on the clock that stops with this process. */
	#unreachableSince: Millis | undefined;
	#probedAt = Number.NEGATIVE_INFINITY;

	/** False from a failed connection until one succeeds. */
	get reachable(): boolean {
		return this.#unreachableSince === undefined;
	}

	/** True once no connection has succeeded for a while. To be asked after `needsProbe` on a tick, which tells of a standstill. */
	isConfirmedOutOfReach(now: Millis): boolean {
		return this.#isConfirmed(this.#awakeAt(now));
	}

	/** Records that a connection could be opened, or could not; returns whether that is a change. */
	set(reachable: boolean, now: Millis): boolean {
		const changed = reachable !== this.reachable;
		this.#unreachableSince = reachable ? undefined : this.#unreachableSince ?? this.#awakeAt(now);
		return changed;
	}

	/** True if a connection should be opened to find out: the last one failed, or the target has been silent for long. `silentMs` is the time without a sign of it; 0 while it has no attempts. */
	needsProbe(silentMs: number, now: Millis): boolean {
		this.#step(now);
		const sinceProbeMs = now - this.#probedAt;
		return this.reachable
			? silentMs >= silenceBeforeProbeMs && sinceProbeMs >= silentProbeIntervalMs
			: sinceProbeMs >= unreachableProbeIntervalMs;
	}

	recordProbe(now: Millis): void {
		this.#probedAt = now;
	}

	#awakeAt(now: Millis): Millis {
		return now - this.#awake.lostMs as Millis;
	}

	#isConfirmed(awakeAt: Millis): boolean {
		return this.#unreachableSince !== undefined && awakeAt - this.#unreachableSince >= confirmMs;
	}

	/** After a standstill the time to confirm starts again, so that the next probe can answer. */
	#step(now: Millis): void {
		const {lostMs} = this.#awake;
		const wasConfirmed = this.#isConfirmed(this.#awake.now);
		const awakeAt = this.#awake.step(now);
		if (this.#awake.lostMs > lostMs && this.#unreachableSince !== undefined && !wasConfirmed) {
			this.#unreachableSince = awakeAt;
		}
	}
}
