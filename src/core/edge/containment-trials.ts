import type {ActionQueue} from '../action-queue.ts';
import {AwakeClock} from '../common/awake-clock.ts';
import type {ControlMessage} from '../control/control-message.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {SuspectTrait} from '../routes/suspect-trait.ts';
import type {EdgeAction} from './edge-action.ts';

/** Times after containment, and after each trial, at which a contained trait is tried again, in milliseconds; after the last trial it stays contained. */
const trialDelaysMs = [60_000, 600_000, 3_600_000];
/** Time that control has to commit a trial, in milliseconds. */
const answerTimeoutMs = 1000;
/** Time after which no answer to a query is awaited any more, in milliseconds: well beyond the time in which control answers any call. */
const lateAnswerMs = 10_000;

/** Called once it is known whether the request may run as a trial. */
type Decided = (granted: boolean, now: Millis) => void;

/** A trial that was asked for or granted. */
type Trial = {readonly trait: RequestTrait; readonly number: number};

/** A query for a trial; without `decided`, its request went on or ended without an answer. */
type Query = Trial & {
	/** Time of its sending, on the clock that stops with this process. */
	readonly sentAt: Millis;
	decided?: Decided;
};

/** A contained trait; `since` is the time at which this entry learnt of its containment or of its last trial. */
type ContainedTrait = {readonly trials: number; since: Millis};

type ContainmentTrialsOptions = {
	readonly queue: ActionQueue<EdgeAction>;
	/** The control node that is asked. */
	readonly primary: () => NodeId | undefined;
};

/**
 * Lets single requests with a contained trait run, so that a trait that was blamed wrongly, or whose targets were mended,
 * is served again. Each trial may cost a target; the replicated log grants it once over all entries. One that its request
 * did not use, since it had ended or the answer came late, is left to the next request with the trait.
 */
export class ContainmentTrials {
	readonly #options: ContainmentTrialsOptions;
	readonly #awake = new AwakeClock();
	/** Time lost to standstills by the last tick, in milliseconds. */
	#lostMs = 0;
	// eslint-disable-next-line no-restricted-syntax -- those that control names, whose number is bounded
	#contained = new Map<RequestTrait, ContainedTrait>();
	readonly #queries = new Map<RequestId, Query>();
	/** Trials of requests that have not ended. */
	readonly #granted = new Map<RequestId, Trial>();
	/** Numbers of granted trials that no request used. */
	// eslint-disable-next-line no-restricted-syntax -- of the contained ones only
	readonly #unused = new Map<RequestTrait, number>();

	constructor(options: ContainmentTrialsOptions) {
		this.#options = options;
	}

	/** Takes the traits that are contained now. */
	update(contained: readonly SuspectTrait[], now: Millis): void {
		this.#contained = new Map(contained.map(({trait, trials}) => {
			const before = this.#contained.get(trait);
			return [trait, before?.trials === trials ? before : {trials, since: now}];
		}));
		for (const [trait, number] of this.#unused) {
			if ((this.#contained.get(trait)?.trials ?? Number.POSITIVE_INFINITY) > number) {
				this.#unused.delete(trait);
			}
		}
	}

	/** True if a request with this contained trait may ask for a trial now. */
	isDue(trait: RequestTrait, now: Millis): boolean {
		const contained = this.#contained.get(trait);
		const delayMs = trialDelaysMs[contained?.trials ?? 0];
		return contained !== undefined && (this.#isUnused(trait) || (delayMs !== undefined && now - contained.since >= delayMs));
	}

	/** Asks for the next trial of a trait. */
	request(requestId: RequestId, trait: RequestTrait, decided: Decided, now: Millis): void {
		const primary = this.#options.primary();
		const contained = this.#contained.get(trait);
		if (primary === undefined || contained === undefined) {
			decided(false, now);
			return;
		}

		if (this.#isUnused(trait)) {
			this.#unused.delete(trait);
			this.#grant(requestId, {trait, number: contained.trials}, decided, now);
			return;
		}

		// Whatever the answer is, this entry waits as long again before it asks once more.
		contained.since = now;
		const number = contained.trials + 1;
		this.#queries.set(requestId, {
			trait, number, sentAt: this.#awake.step(now), decided,
		});
		this.#options.queue.send(primary, {
			part: 'control',
			body: {
				type: 'trial-wanted', requestId, trait, number,
			},
		});
	}

	/** Takes the end of a request; `isTrial` is true if it was granted a trial and was not sent to any target. */
	end(requestId: RequestId, isTrial: boolean): void {
		const query = this.#queries.get(requestId);
		if (query !== undefined) {
			query.decided = undefined;
		}

		const trial = this.#granted.get(requestId);
		this.#granted.delete(requestId);
		if (trial !== undefined && isTrial) {
			this.#unused.set(trial.trait, trial.number);
		}
	}

	handleAnswer({requestId, granted}: ControlMessage & {type: 'trial-answer'}, now: Millis): void {
		const query = this.#queries.get(requestId);
		if (query === undefined) {
			return;
		}

		this.#queries.delete(requestId);
		const {trait, number, decided} = query;
		if (decided !== undefined && granted) {
			this.#grant(requestId, {trait, number}, decided, now);
		} else if (decided !== undefined) {
			this.#refuse(trait, decided, now);
		} else if (granted) {
			this.#unused.set(trait, number);
		}
	}

	/** Gives up queries without an answer; not in the first tick after a standstill, since answers may wait unread. */
	tick(now: Millis): void {
		const awakeAt = this.#awake.step(now);
		const mayBeUnread = this.#awake.lostMs > this.#lostMs;
		this.#lostMs = this.#awake.lostMs;
		if (mayBeUnread) {
			return;
		}

		for (const [requestId, query] of this.#queries) {
			const {trait, sentAt, decided} = query;
			if (awakeAt - sentAt > lateAnswerMs) {
				this.#queries.delete(requestId);
			}

			if (decided !== undefined && awakeAt - sentAt > answerTimeoutMs) {
				query.decided = undefined;
				this.#refuse(trait, decided, now);
			}
		}
	}

	/** True once the log shows that the newest trial of the trait is one that no request used here. */
	#isUnused(trait: RequestTrait): boolean {
		const number = this.#unused.get(trait);
		return number !== undefined && number === this.#contained.get(trait)?.trials;
	}

	#grant(requestId: RequestId, trial: Trial, decided: Decided, now: Millis): void {
		this.#granted.set(requestId, trial);
		this.#options.queue.event('containment-trial', {trait: trial.trait, granted: true});
		decided(true, now);
	}

	#refuse(trait: RequestTrait, decided: Decided, now: Millis): void {
		this.#options.queue.event('containment-trial', {trait, granted: false});
		decided(false, now);
	}
}
