import {performance} from 'node:perf_hooks';
import {constants} from '../settings/constants.ts';

/** Allowance for the network delay of a heartbeat, in milliseconds. */
const heartbeatMarginMs = 200;

/**
 * Detects a dead link by missing heartbeats. The receiver answers a frame with a heartbeat unless its last one is
 * less than `constants.peerHeartbeatMs` old, so an idle link sends nothing,
 * and a frame sent more than that time after the last heartbeat must be answered.
 */
export class LinkMonitor {
	#lastHeartbeatAt = Number.NEGATIVE_INFINITY;
	/** When the oldest unanswered frame that needs a heartbeat was sent; undefined if there is none. */
	#unansweredSince: number | undefined;

	/** Starts to wait for the first heartbeat of a link that is being opened. */
	recordOpen(): void {
		this.#unansweredSince = performance.now();
	}

	recordSent(): void {
		const now = performance.now();
		if (now - this.#lastHeartbeatAt >= constants.peerHeartbeatMs + heartbeatMarginMs) {
			this.#unansweredSince ??= now;
		}
	}

	recordHeartbeat(): void {
		this.#lastHeartbeatAt = performance.now();
		this.#unansweredSince = undefined;
	}

	isTimedOut(): boolean {
		return this.#unansweredSince !== undefined && performance.now() - this.#unansweredSince >= constants.peerHeartbeatTimeoutMs;
	}
}
