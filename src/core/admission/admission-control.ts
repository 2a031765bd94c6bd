import type {Random} from '../common/random.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import {PredictionError} from './prediction-error.ts';
import {ReturnSchedule} from './return-schedule.ts';
import {RoomForecast} from './room-forecast.ts';
import {WorkRate} from './work-rate.ts';

/** Confidence with which a request that has to wait must be predicted to start before its deadline. */
const admitConfidence = 0.7;
/** Confidence below which a request that waits is refused, lower than the one that admits it: a short rise of the prediction must not undo its admission. */
const keepConfidence = 0.3;
/** Confidence below which a request that a target has room for is not sent there: it is more likely to end at its deadline than to start, and would delay others. */
const roomConfidence = 0.5;

/** Smallest share of the room that is assumed to be left to late requests; it only bounds the prediction. */
const minLateShare = 0.01;

/** Share of the room that is kept for callers that return, while requests that are on time would use all of it: bursts end. */
const minReturnShare = 0.25;

/** Requests of one service and route: engines serve routes of a more urgent priority first, so that their starts differ. */
type Kind = {readonly service: ServiceName; readonly className: string};

type Prediction = {readonly predictedMs: number; readonly measuredMs: number};

type WaitQuery = {
	/** Predicted time from its sending to its start, in milliseconds. */
	readonly startMs: number;
	/** Time within which it has to get room to meet its latency objective, in milliseconds. */
	readonly slackMs: number;
	/** Work of the requests that go before it in the queue of this entry, and of those that do once it is late. */
	readonly workAhead: number;
	readonly workAheadIfLate: number;
	/** Number of requests that wait at this entry. */
	readonly waiting: number;
	/** Load of the service over the entries of the region, as reported last; undefined if it is unknown. */
	readonly region?: {readonly inFlight: number; readonly waiting: number};
	/** True if it waits already. */
	readonly isWaiting: boolean;
};

type ReturnQuery = Pick<WaitQuery, 'waiting' | 'region'> & {
	readonly work: number;
	/** Work of the requests that wait at this entry. */
	readonly queuedWork: number;
	/** Time until the deadline of the request, in milliseconds. */
	readonly leftMs: number;
};

type WaitPrediction = {
	/** Predicted time until it gets room, without the error of the prediction, in milliseconds; 0 if it is unknown. */
	readonly waitMs: number;
	/** Time within which it starts, with the confidence asked for, in milliseconds. */
	readonly expectedMs: number;
	/** True if it gets room within its latency objective, with that confidence. */
	readonly isOnTime: boolean;
};

type Estimates = {
	readonly room: RoomForecast;
	readonly onTimeInflow: WorkRate;
	readonly waitError: PredictionError;
	readonly startErrors: Map<string, PredictionError>;
	readonly returns: ReturnSchedule;
};

/**
 * Predicts, by service, when a request starts that has to wait, with the measured error of earlier predictions.
 *
 * Load pattern: in a burst, demand is a multiple of the capacity; a request that waits until its deadline has neither
 * been served nor been told in time to come again.
 */
export class AdmissionControl {
	readonly #random: Random;
	readonly #services = new Map<ServiceName, Estimates>();
	readonly #attempts = new Map<AttemptNumber, {readonly room: RoomForecast; readonly startError: PredictionError}>();

	constructor({random}: {random: Random}) {
		this.#random = random;
	}

	/** Records that an attempt was sent to a target; `work`: its tokens, or 1 for a call; `predictedMs`: time to its first event or, for a call, to its answer. */
	recordSent({service, className}: Kind, {attempt, work, predictedMs}: {attempt: AttemptNumber; work: number; predictedMs: number}, now: Millis): void {
		const {room, startErrors} = this.#estimates(service);
		const startError = startErrors.get(className) ?? new PredictionError();
		startErrors.set(className, startError);
		room.recordSent(attempt, work, now);
		startError.open(attempt, predictedMs, now);
		this.#attempts.set(attempt, {room, startError});
	}

	/** Records that an attempt has brought the first event of a stream, or the answer of a call; or that it was given up, and would have started even later. */
	recordStart(attempt: AttemptNumber, now: Millis): void {
		this.#attempts.get(attempt)?.startError.close(attempt, now);
	}

	/** Records that an attempt has served its request; to be called before `recordReleased`. */
	recordServed(attempt: AttemptNumber, now: Millis): void {
		this.#attempts.get(attempt)?.room.recordServed(attempt, now);
	}

	/** Records that an attempt no longer occupies its target. */
	recordReleased(attempt: AttemptNumber): void {
		const known = this.#attempts.get(attempt);
		known?.room.recordReleased(attempt);
		known?.startError.drop(attempt);
		this.#attempts.delete(attempt);
	}

	/** Records for how long a request waited until there was room. */
	recordWait(service: ServiceName, prediction: Prediction, now: Millis): void {
		this.#estimates(service).waitError.record(prediction, now);
	}

	/** Records that a request that is to meet its latency objective was admitted. */
	recordOnTime(service: ServiceName, work: number, now: Millis): void {
		this.#estimates(service).onTimeInflow.record(work, now);
	}

	/**
	 * Predicts when a request starts that has to wait. One that will not get room within its latency objective is passed
	 * over by those that will, also by those still to come: only the room that they leave counts for it.
	 */
	predict({service, className}: Kind, query: WaitQuery, now: Millis): WaitPrediction {
		const {startMs, slackMs, workAhead, workAheadIfLate, waiting, region, isWaiting} = query;
		const estimates = this.#services.get(service);
		const workPerMs = estimates?.room.workPerMs({waiting, region}) ?? 0;
		if (estimates === undefined || workPerMs === 0) {
			return {waitMs: 0, expectedMs: startMs, isOnTime: slackMs >= 0};
		}

		const {room, waitError, startErrors, onTimeInflow} = estimates;
		const confidence = isWaiting ? keepConfidence : admitConfidence;
		const errorFactor = waitError.factor(confidence, now);
		const onTimeMs = (workAhead + (room.meanWork / 2)) / workPerMs;
		const isOnTime = slackMs >= 0 && onTimeMs * errorFactor <= slackMs;
		const lateWorkPerMs = Math.max(minLateShare * workPerMs, workPerMs - onTimeInflow.perMs(now));
		const waitMs = isOnTime ? onTimeMs : (workAheadIfLate + (room.meanWork / 2)) / lateWorkPerMs;
		return {waitMs, expectedMs: (waitMs * errorFactor) + (startMs * (startErrors.get(className)?.factor(confidence, now) ?? 1)), isOnTime};
	}

	/** Predicted time until a new request gets room that goes behind all that wait here, in milliseconds; 0 if it is unknown. */
	queueMs(service: ServiceName, query: Parameters<RoomForecast['waitMs']>[0]): number {
		return this.#services.get(service)?.room.waitMs(query) ?? 0;
	}

	/** Time after which the caller of a refused request is to return, in milliseconds; undefined if the rate at which room frees is unknown. */
	returnDelayMs(service: ServiceName, {work, queuedWork, leftMs, waiting, region}: ReturnQuery, now: Millis): number | undefined {
		const estimates = this.#services.get(service);
		const workPerMs = estimates?.room.workPerMs({waiting, region}) ?? 0;
		if (estimates === undefined || workPerMs === 0) {
			return undefined;
		}

		const {onTimeInflow, returns, waitError} = estimates;
		return returns.delayMs({
			work,
			workPerMs: Math.max(minReturnShare * workPerMs, workPerMs - onTimeInflow.perMs(now)),
			backlogMs: queuedWork / workPerMs * waitError.factor(admitConfidence, now),
			leftMs,
		}, now);
	}

	/** Time before which a request that a target has room for hardly starts, in milliseconds. */
	soonestStartMs({service, className}: Kind, startMs: number, now: Millis): number {
		return startMs * Math.max(1, this.#services.get(service)?.startErrors.get(className)?.factor(roomConfidence, now) ?? 1);
	}

	#estimates(service: ServiceName): Estimates {
		const known = this.#services.get(service) ?? {
			room: new RoomForecast(), onTimeInflow: new WorkRate(), waitError: new PredictionError(), startErrors: new Map(), returns: new ReturnSchedule(this.#random),
		};
		this.#services.set(service, known);
		return known;
	}
}
