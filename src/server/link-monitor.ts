import {performance} from 'node:perf_hooks';
import {constants} from '../settings/constants.ts';

/** Allowance for the network delay of a heartbeat, in milliseconds. */
const heartbeatMarginMs = 200;
/** Longest time between two checks that counts, in milliseconds: beyond it this process stood still, and heartbeats may wait unread in its socket. */
const maxStepMs = 2 * constants.peerHeartbeatMs;

/**
 * Detects a dead link by missing heartbeats. The receiver answers a frame with a heartbeat unless its last one is
 * less than `constants.peerHeartbeatMs` old, so an idle link sends nothing,
 * and a frame sent more than that time after the last heartbeat must be answered.
 */
export class LinkMonitor {
	#lastHeartbeatAt = Number.NEGATIVE_INFINITY;
	/** Time at which the last check ended, or the oldest unanswered frame that needs a heartbeat was sent; undefined if there is none. */
	#waitingSince: number | undefined;
	/** Time without a heartbeat up to `#waitingSince`, in milliseconds. */
	#silentMs = 0;

	/** Starts to wait for the first heartbeat of a link that is being opened. */
	recordOpen(): void {
		this.#waitingSince = performance.now();
		this.#silentMs = 0;
	}

	recordSent(): void {
		const now = performance.now();
		if (this.#waitingSince === undefined && now - this.#lastHeartbeatAt >= constants.peerHeartbeatMs + heartbeatMarginMs) {
			this.#waitingSince = now;
			this.#silentMs = 0;
		}
	}

	recordHeartbeat(): void {
		this.#lastHeartbeatAt = performance.now();
		this.#waitingSince = undefined;
	}

	/** To be called every `constants.peerHeartbeatMs`. */
	isTimedOut(): boolean {
		if (this.#waitingSince === undefined) {
			return false;
		}

		const now = performance.now();
		this.#silentMs += Math.min(now - this.#waitingSince, maxStepMs);
		this.#waitingSince = now;
		return this.#silentMs >= constants.peerHeartbeatTimeoutMs;
	}
}
