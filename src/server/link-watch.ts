import {performance} from 'node:perf_hooks';
import {constants} from '../settings/constants.ts';

/** Spare time for the way of a sign of life, in milliseconds. */
const marginMs = 200;

/**
 * Tells whether a link is dead. The receiver answers a frame by a sign of life if its last one is old enough,
 * so an idle link costs nothing and a frame sent later than that must be answered.
 */
export class LinkWatch {
	#heardAt = Number.NEGATIVE_INFINITY;
	/** When the oldest frame was sent that must be answered and was not. */
	#awaitingSince: number | undefined;

	/** The link is being opened: the first sign of life is awaited. */
	opened(): void {
		this.#awaitingSince = performance.now();
	}

	sent(): void {
		const now = performance.now();
		if (now - this.#heardAt >= constants.peerPulseMs + marginMs) {
			this.#awaitingSince ??= now;
		}
	}

	heard(): void {
		this.#heardAt = performance.now();
		this.#awaitingSince = undefined;
	}

	silent(): boolean {
		return this.#awaitingSince !== undefined && performance.now() - this.#awaitingSince >= constants.peerSilenceMs;
	}
}
