import type {Millis} from '../ids/millis.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import {asIfFailed} from './as-if-failed.ts';
import type {AttemptTracker} from './attempt-tracker.ts';
import type {CrashContainment} from './crash-containment.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {PlacementPolicy} from './placement-policy.ts';
import type {RequestRecord} from './request-record.ts';
import type {RetryPolicy} from './retry-policy.ts';
import type {WaitQueue} from './wait-queue.ts';

/** Waiting requests of each service that one step tries to place, and those that it looks at in all. */
const maxPlacementsPerStep = 16;
const maxDecisionsPerStep = 128;

/** A decision by which a request is sent somewhere. */
type Destination = Extract<ReturnType<PlacementPolicy['decide']>, {type: 'target' | 'away'}>;

type RequestPlacerOptions = {
	readonly placement: PlacementPolicy;
	readonly waiting: WaitQueue;
	readonly containment: CrashContainment;
	readonly attempts: AttemptTracker;
	readonly retryPolicy: RetryPolicy;
	/** Gives a request its final refusal. */
	readonly refuse: (record: RequestRecord, reason: EdgeRefusal['reason'], now: Millis) => void;
};

/** Carries out the placement of requests that have no attempt in progress: new ones, retries and those that wait. */
export class RequestPlacer {
	readonly #options: RequestPlacerOptions;

	constructor(options: RequestPlacerOptions) {
		this.#options = options;
	}

	/** Sends a request to the best destination, queues it or refuses it. A retry has to fit the retry budget first. */
	place(record: RequestRecord, now: Millis): void {
		const {placement, waiting, containment, retryPolicy, refuse} = this.#options;
		const contained = record.isTrial ? [] : containment.containedTraits(record.req);
		if (contained.length > 0) {
			this.#handleContained(record, contained, now);
			return;
		}

		const decision = placement.decide(record, now);
		if (record.sends > 0 && !retryPolicy.reserveRetry(record, now)) {
			record.retryAfterMs = decision.type === 'refuse' ? decision.retryAfterMs : record.retryAfterMs;
			refuse(record, 'target-failed', now);
			return;
		}

		switch (decision.type) {
			case 'target':
			case 'away': {
				this.#start(record, decision, now);
				break;
			}

			case 'wait': {
				waiting.add(record);
				break;
			}

			case 'refuse': {
				record.retryAfterMs = Math.min(record.retryAfterMs ?? Number.POSITIVE_INFINITY, decision.retryAfterMs);
				refuse(record, decision.reason, now);
			}
		}
	}

	/**
	 * Sends a stalled request to a further destination, if one can take it now and the retry fits the retry budget.
	 * Its present attempt is kept: the other destination may be full, or out of reach.
	 *
	 * @param onStall - Called before, while the stalled attempt is still the current one.
	 */
	placeStalled(record: RequestRecord, onStall: () => void, now: Millis): void {
		const {placement, containment, attempts, retryPolicy} = this.#options;
		const decision = placement.decide(asIfFailed(record), now);
		const isPlaced = decision.type === 'target' || decision.type === 'away';
		if (!isPlaced || containment.containedTraits(record.req).length > 0 || !retryPolicy.reserveRetry(record, now)) {
			return;
		}

		onStall();
		attempts.keep(record);
		this.#start(record, decision, now);
	}

	/** Places waiting requests of each service in order, up to the first that has to keep waiting for capacity; those that wait for the end of a pause hold up no other. Requests behind it that can no longer be served are refused at once. */
	placeWaiting(now: Millis): void {
		const {waiting, placement} = this.#options;
		for (const service of waiting.services()) {
			let blocked = false;
			let tried = 0;
			for (const record of waiting.list(service).slice(0, maxDecisionsPerStep)) {
				const decision = placement.decide(record, now);
				if (decision.type === 'wait' && decision.forPause) {
					continue;
				}

				tried += 1;
				if (tried > maxPlacementsPerStep) {
					break;
				}

				if (blocked && decision.type !== 'refuse') {
					continue;
				}

				waiting.remove(record);
				this.place(record, now);
				blocked ||= waiting.has(record);
			}
		}
	}

	#start(record: RequestRecord, decision: Destination, now: Millis): void {
		const {attempts} = this.#options;
		if (decision.type === 'target') {
			attempts.send(record, decision.candidate, now);
		} else {
			attempts.forward(record, decision, now);
		}
	}

	/** Refuses a contained request, unless it may run as a trial: a new request that only one trait keeps away. */
	#handleContained(record: RequestRecord, [trait, ...others]: readonly RequestTrait[], now: Millis): void {
		const {containment: {trials}, refuse} = this.#options;
		if (record.sends > 0 || others.length > 0 || !trials.isDue(trait!, now)) {
			refuse(record, 'contained', now);
			return;
		}

		trials.request(record.req.requestId, trait!, (granted, decidedAt) => {
			record.isTrial = granted;
			this.place(record, decidedAt);
		}, now);
	}
}
