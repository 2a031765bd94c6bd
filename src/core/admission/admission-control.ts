import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import {PredictionError} from './prediction-error.ts';
import {RoomForecast} from './room-forecast.ts';

/** Confidence with which a request that has to wait must be predicted to start before its deadline. */
const admitConfidence = 0.7;
/** Confidence below which a request that waits is refused, lower than the one that admits it: a short rise of the prediction must not undo its admission. */
const keepConfidence = 0.3;
/** Confidence below which a request that a target has room for is not sent there; low, since a refusal would leave the room unused. */
const roomConfidence = 0.1;

type Prediction = {readonly predictedMs: number; readonly measuredMs: number};

/** Predicted time until a request gets room, and from then on to its start, in milliseconds. */
type WaitingTimes = {readonly waitMs: number; readonly startMs: number; readonly isWaiting: boolean};

type Estimates = {readonly room: RoomForecast; readonly waitError: PredictionError; readonly startError: PredictionError};

/**
 * Predicts, by service, when a request starts that has to wait, with the measured error of earlier predictions.
 *
 * Load pattern: in a burst, demand is a multiple of the capacity; a request that waits until its deadline has neither
 * been served nor been told in time to come again.
 */
export class AdmissionControl {
	readonly #services = new Map<ServiceName, Estimates>();
	readonly #roomOf = new Map<AttemptNumber, RoomForecast>();

	/** Records that an attempt was sent to a target; `work` is the number of its tokens, or 1 for a call. */
	recordSent(service: ServiceName, {attempt, work}: {attempt: AttemptNumber; work: number}, now: Millis): void {
		const {room} = this.#estimates(service);
		room.recordSent(attempt, work, now);
		this.#roomOf.set(attempt, room);
	}

	/** Records that an attempt has served its request; to be called before `recordReleased`. */
	recordServed(attempt: AttemptNumber, now: Millis): void {
		this.#roomOf.get(attempt)?.recordServed(attempt, now);
	}

	/** Records that an attempt no longer occupies its target. */
	recordReleased(attempt: AttemptNumber): void {
		this.#roomOf.get(attempt)?.recordReleased(attempt);
		this.#roomOf.delete(attempt);
	}

	/** Records the time from an attempt's sending to the first event of a stream, or to the answer of a call. */
	recordStart(service: ServiceName, prediction: Prediction, now: Millis): void {
		this.#estimates(service).startError.record(prediction, now);
	}

	/** Records for how long a request waited until there was room. */
	recordWait(service: ServiceName, prediction: Prediction, now: Millis): void {
		this.#estimates(service).waitError.record(prediction, now);
	}

	/** Predicted time until a request gets room, without the error of the prediction, in milliseconds. */
	waitMs(service: ServiceName, query: Parameters<RoomForecast['waitMs']>[0]): number {
		return this.#services.get(service)?.room.waitMs(query) ?? 0;
	}

	/** Predicted rate at which room frees for requests of a service that wait here, in work a millisecond; 0 if it is unknown. */
	workPerMs(service: ServiceName, query: Parameters<RoomForecast['workPerMs']>[0]): number {
		return this.#services.get(service)?.room.workPerMs(query) ?? 0;
	}

	/** Time within which a request starts that has to wait, with the confidence asked of one that is admitted or, if it `isWaiting` already, of one that is kept, in milliseconds. */
	waitingStartMs(service: ServiceName, {waitMs, startMs, isWaiting}: WaitingTimes, now: Millis): number {
		const {waitError, startError} = this.#services.get(service) ?? {};
		const confidence = isWaiting ? keepConfidence : admitConfidence;
		return (waitMs * (waitError?.factor(confidence, now) ?? 1)) + (startMs * (startError?.factor(confidence, now) ?? 1));
	}

	/** Time before which a request that a target has room for hardly starts, in milliseconds. */
	soonestStartMs(service: ServiceName, startMs: number, now: Millis): number {
		return startMs * Math.max(1, this.#services.get(service)?.startError.factor(roomConfidence, now) ?? 1);
	}

	#estimates(service: ServiceName): Estimates {
		const known = this.#services.get(service) ?? {room: new RoomForecast(), waitError: new PredictionError(), startError: new PredictionError()};
		this.#services.set(service, known);
		return known;
	}
}
