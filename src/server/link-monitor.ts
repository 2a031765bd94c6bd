import {performance} from 'node:perf_hooks';
import {constants} from '../settings/constants.ts';

/** Spare time for the way of a sign of life, in milliseconds. */
const heartbeatMarginMs = 200;

/**
 * Tells whether a link is dead. The receiver answers a frame by a sign of life if its last one is old enough,
 * so an idle link costs nothing and a frame sent later than that must be answered.
 */
export class LinkMonitor {
	#lastHeartbeatAt = Number.NEGATIVE_INFINITY;
	/** When the oldest frame was sent that must be answered and was not. */
	#unansweredSince: number | undefined;

	/** The link is being opened: the first sign of life is awaited. */
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
