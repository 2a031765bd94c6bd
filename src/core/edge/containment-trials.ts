import type {ActionQueue} from '../action-queue.ts';
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

/** Called once it is known whether the request may run as a trial. */
type Decided = (granted: boolean, now: Millis) => void;

type Query = {readonly trait: RequestTrait; readonly sentAt: Millis; readonly decided: Decided};

/** A contained trait; `since` is the time at which this entry learnt of its containment or of its last trial. */
type ContainedTrait = {readonly trials: number; since: Millis};

type ContainmentTrialsOptions = {
	readonly queue: ActionQueue<EdgeAction>;
	/** The control node that is asked. */
	readonly primary: () => NodeId | undefined;
};

/**
 * Lets single requests with a contained trait run, so that a trait that was blamed wrongly, or whose targets were mended,
 * is served again. Each trial may cost a target; the replicated log grants it once over all entries.
 */
export class ContainmentTrials {
	readonly #options: ContainmentTrialsOptions;
	#contained = new Map<RequestTrait, ContainedTrait>();
	readonly #queries = new Map<RequestId, Query>();

	constructor(options: ContainmentTrialsOptions) {
		this.#options = options;
	}

	/** Takes the traits that are contained now. */
	update(contained: readonly SuspectTrait[], now: Millis): void {
		this.#contained = new Map(contained.map(({trait, trials}) => {
			const before = this.#contained.get(trait);
			return [trait, before?.trials === trials ? before : {trials, since: now}];
		}));
	}

	/** True if a request with this contained trait may ask for a trial now. */
	isDue(trait: RequestTrait, now: Millis): boolean {
		const contained = this.#contained.get(trait);
		const delayMs = trialDelaysMs[contained?.trials ?? 0];
		return contained !== undefined && delayMs !== undefined && now - contained.since >= delayMs;
	}

	/** Asks for the next trial of a trait. */
	request(requestId: RequestId, trait: RequestTrait, decided: Decided, now: Millis): void {
		const primary = this.#options.primary();
		const contained = this.#contained.get(trait);
		if (primary === undefined || contained === undefined) {
			decided(false, now);
			return;
		}

		// Whatever the answer is, this entry waits as long again before it asks once more.
		contained.since = now;
		this.#queries.set(requestId, {trait, sentAt: now, decided});
		this.#options.queue.send(primary, {
			part: 'control',
			body: {
				type: 'trial-wanted', requestId, trait, number: contained.trials + 1,
			},
		});
	}

	/** Drops the query of a request that has ended. */
	cancel(requestId: RequestId): void {
		this.#queries.delete(requestId);
	}

	handleAnswer({requestId, granted}: ControlMessage & {type: 'trial-answer'}, now: Millis): void {
		this.#decide(requestId, granted, now);
	}

	tick(now: Millis): void {
		for (const [requestId, {sentAt}] of this.#queries) {
			if (now - sentAt > answerTimeoutMs) {
				this.#decide(requestId, false, now);
			}
		}
	}

	#decide(requestId: RequestId, granted: boolean, now: Millis): void {
		const query = this.#queries.get(requestId);
		if (query === undefined) {
			return;
		}

		this.#queries.delete(requestId);
		this.#options.queue.event('containment-trial', {trait: query.trait, granted});
		query.decided(granted, now);
	}
}
