import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';

/** Weight of the newest completion in the means. */
const sampleWeight = 0.05;

type WaitQuery = {
	/** Work of the requests that go before it in the queue of this entry. */
	readonly workAhead: number;
	/** Number of requests that wait at this entry. */
	readonly waiting: number;
	/** Requests of the service that all entries of the region have at targets, and those that wait there, as reported last; undefined if that is unknown. */
	readonly region?: {readonly inFlight: number; readonly waiting: number};
};

/**
 * Predicts when targets have room for a request that waits, from the work that they hold and the time for which they
 * held the work that they completed (Little's law).
 *
 * Load pattern: a burst fills all targets at once, before any change of their rate can be measured; the work held at
 * that moment is known. The work of a request is its number of tokens, or 1 for a call. Room that requests of this
 * entry free is seen here first; room that others free goes to the entries in proportion to the requests that wait there.
 */
export class RoomForecast {
	readonly #held = new Map<AttemptNumber, {readonly work: number; readonly at: Millis}>();
	#heldWork = 0;
	/** Mean of the work of completed attempts, and of its product with the time for which they were held. */
	#meanWork = 0;
	#meanWorkMs = 0;

	recordSent(attempt: AttemptNumber, work: number, now: Millis): void {
		this.#held.set(attempt, {work, at: now});
		this.#heldWork += work;
	}

	/** Records that an attempt has served its request; to be called before `recordReleased`. */
	recordServed(attempt: AttemptNumber, now: Millis): void {
		const held = this.#held.get(attempt);
		if (held === undefined) {
			return;
		}

		const workMs = held.work * Math.max(1, now - held.at);
		const weight = this.#meanWork === 0 ? 1 : sampleWeight;
		this.#meanWork += weight * (held.work - this.#meanWork);
		this.#meanWorkMs += weight * (workMs - this.#meanWorkMs);
	}

	/** Records that an attempt no longer occupies its target. */
	recordReleased(attempt: AttemptNumber): void {
		this.#heldWork -= this.#held.get(attempt)?.work ?? 0;
		this.#held.delete(attempt);
	}

	/** Mean work of completed attempts; 0 while there was none. */
	get meanWork(): number {
		return this.#meanWork;
	}

	/** Predicted time until a request gets room, in milliseconds; 0 while nothing is known. */
	waitMs({workAhead, waiting, region}: WaitQuery): number {
		const workPerMs = this.workPerMs({waiting, region});
		return workPerMs === 0 ? 0 : (workAhead + (this.#meanWork / 2)) / workPerMs;
	}

	/** Predicted rate at which targets free room for the requests of this entry, in work a millisecond; 0 if it is unknown. */
	workPerMs({waiting, region}: Omit<WaitQuery, 'workAhead'>): number {
		if (this.#meanWork === 0) {
			return 0;
		}

		const othersWaiting = Math.max(0, (region?.waiting ?? 0) - waiting);
		const share = Math.max(1, waiting) / (Math.max(1, waiting) + othersWaiting);
		const othersWork = Math.max(0, (region?.inFlight ?? 0) - this.#held.size) * this.#meanWork;
		const heldMs = this.#meanWorkMs / this.#meanWork;
		return (this.#heldWork + (share * othersWork)) / heldMs;
	}
}
