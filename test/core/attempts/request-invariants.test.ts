import test from 'ava';
import fc from 'fast-check';
import type {Action} from '../../../src/core/actions.ts';
import {SuspectPoisonGuard} from '../../../src/core/attempts/suspect-poison-guard.ts';
import type {AttemptId} from '../../../src/core/ids/attempt-id.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {ClaimOutcome} from '../../../src/core/ledger/claim-outcome.ts';
import type {Refusal} from '../../../src/core/results/refusal.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';
import {routeSettingsFixture} from '../../fixtures/route-settings-fixture.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

type Start = Extract<Action, {type: 'start-attempt'}>;
/** A random event: `what` selects its kind; `pick` selects the attempt, request, target or outcome, or a duration. */
type Step = {readonly what: number; readonly pick: number; readonly notSent: boolean; readonly passedOn: boolean};

/** Runs random events against a coordinator and checks its invariants after each of them. */
class InvariantChecker {
	readonly harness = new CoordinatorHarness({
		settings: {targetConcurrency: 2, deadlineMs: 5000},
		poison: new SuspectPoisonGuard({
			self: toId<NodeId>('entry-1'), peers: () => [], remoteEntries: () => [], outbox: new RecordingOutbox(),
		}),
	});

	/** Outcome of each attempt, as a target and the server would see it; `incarnation` is `target@incarnation`. */
	readonly #attempts = new Map<AttemptId, {start: Start; incarnation: string; outcome: 'open' | 'not-run' | 'may-have-run' | 'whole'}>();
	/** The attempt that may write to the caller, by request. */
	readonly #writers = new Map<string, AttemptId>();
	/** Attempts on standby that were not handed their request over. */
	readonly #standby = new Set<AttemptId>();
	readonly #finalAnswers = new Map<string, string>();
	readonly #disconnected = new Set<string>();
	#seen = 0;
	#requests = 0;
	#incarnation = 1;

	constructor() {
		this.harness.tree.settings.set('prairie/print/proofer/order', routeSettingsFixture({repeatable: false, deadlineMs: 5000}));
		for (const name of ['engine-0', 'engine-1', 'engine-2', 'engine-3']) {
			this.harness.targets.add(name, {resumes: name !== 'engine-3'});
		}

		this.harness.membership.addRegion('saskatoon-a', {'entry-5': 1, 'entry-6': 2});
	}

	step(step: Step): void {
		const {harness} = this;
		switch (step.what) {
			case 0: {
				this.#sendRequest('drafts');
				break;
			}

			case 1: {
				this.#sendRequest('order');
				break;
			}

			case 2: {
				this.#withAttempt(step, id => {
					this.#recordOutcome(id, 'whole');
					harness.end(id);
				});
				break;
			}

			case 3: {
				this.#withAttempt(step, id => {
					this.#recordOutcome(id, step.notSent ? 'not-run' : 'may-have-run');
					const passedOn = step.passedOn && !step.notSent;
					harness.fail(id, {
						reason: step.notSent ? 'connect' : 'reset', notSent: step.notSent, passedOn, tokens: passedOn ? 5 : 0,
					});
				});
				break;
			}

			case 4: {
				this.#withAttempt(step, id => {
					this.#recordOutcome(id, 'not-run');
					harness.fail(id, {reason: 'refused', refusal: {result: 'overloaded', ran: 'no'}});
				});
				break;
			}

			case 5: {
				this.#withAttempt(step, id => {
					this.#sign(id, step);
				});
				break;
			}

			case 6: {
				const requestId = `r${step.pick % Math.max(1, this.#requests)}`;
				this.#disconnected.add(requestId);
				harness.coordinator.handleCallerGone(toId(requestId), harness.now);
				break;
			}

			case 7: {
				this.#claim(step);
				break;
			}

			case 8: {
				this.#loseTarget(step);
				break;
			}

			case 9: {
				const targetId = toId<never>(`engine-${step.pick % 4}`);
				harness.targets.recordConnection(targetId, step.passedOn, harness.now);
				break;
			}

			case 10: {
				harness.advance(step.pick * 100);
				break;
			}

			default: {
				harness.advance(step.pick * 20);
			}
		}

		this.#check();
	}

	/** Completes all open attempts; every request must have its final answer afterwards. */
	finish(): void {
		for (let round = 0; round < 40; round++) {
			for (const [id, {outcome}] of this.#attempts) {
				if (outcome === 'open') {
					this.#recordOutcome(id, 'whole');
					this.harness.end(id);
					this.#check();
				}
			}

			this.harness.advance(1000);
			this.#check();
		}

		assert(this.harness.coordinator.inFlight() === 0, 'a request is still in flight');
		for (let index = 0; index < this.#requests; index++) {
			assert(this.#finalAnswers.has(`r${index}`) || this.#disconnected.has(`r${index}`), `r${index} has no final answer`);
		}
	}

	/** An attempt in flight that receives bytes must be the only one that may write to the caller afterwards, before it writes them. */
	#sign(id: AttemptId, {passedOn}: Step): void {
		const {coordinator, now} = this.harness;
		const {start: {requestId, resume}, outcome} = this.#attempts.get(id)!;
		const writer = this.#writers.get(requestId);
		const open = this.#openAttemptsOf(requestId).length;
		// The head of a resumed stream is not written: only its events may follow what the caller has.
		const isHeadAlone = !passedOn && resume && this.#standby.has(id);
		if (passedOn) {
			coordinator.attemptProgress(id, {tokens: 1, bytes: 10}, now);
		} else {
			coordinator.attemptFirstByte(id, now);
		}

		this.#check();
		if (isHeadAlone) {
			assert(this.#writers.get(requestId) === writer, 'a resumed stream is taken over before its first event');
			assert(this.#openAttemptsOf(requestId).length === open, 'an attempt is given up before the first event of the next one');
		} else if (outcome === 'open' && !this.#finalAnswers.has(requestId)) {
			assert(this.#writers.get(requestId) === id, 'an attempt that receives bytes may not write');
			assert(this.#openAttemptsOf(requestId).length === 1, 'another attempt beside one that receives bytes');
		}
	}

	#sendRequest(route: string): void {
		const requestId = `r${this.#requests++}`;
		const order = route === 'order';
		this.harness.request(requestId, {
			path: {
				firm: 'prairie', deployment: 'print', service: 'proofer', route,
			},
			kind: order ? 'call' : 'completion',
			streamed: !order,
			deadlineAt: (this.harness.now + 5000) as typeof this.harness.now,
			...(order && {idempotencyKey: requestId}),
		});
	}

	#claim(step: Step): void {
		const outcomes: ClaimOutcome[] = [
			{type: 'granted'}, {type: 'granted'}, {type: 'in-progress', retryAfterMs: 1}, {type: 'unavailable', retryAfterMs: 1, ran: 'maybe'},
		];
		const claim = this.harness.ledger.claims.shift();
		if (claim) {
			this.harness.resolveClaim(claim.requestId, outcomes[step.pick % outcomes.length]!);
		}
	}

	#loseTarget(step: Step): void {
		const name = `engine-${step.pick % 4}`;
		const targetId = toId<never>(name);
		this.harness.targets.remove(targetId);
		this.harness.coordinator.targetsLost([targetId], this.harness.now);
		this.#incarnation += 1;
		this.harness.targets.add(name, {incarnation: this.#incarnation});
	}

	#withAttempt(step: Step, act: (id: AttemptId) => void): void {
		const ids = [...this.#attempts.keys()];
		const id = ids[step.pick % ids.length];
		if (id !== undefined) {
			act(id);
		}
	}

	/** Only the first outcome of an attempt counts; later events are stale. */
	#recordOutcome(id: AttemptId, outcome: 'not-run' | 'may-have-run' | 'whole'): void {
		const attempt = this.#attempts.get(id)!;
		if (attempt.outcome === 'open') {
			attempt.outcome = outcome;
		}
	}

	#check(): void {
		for (const action of this.harness.actions.slice(this.#seen)) {
			this.#checkAction(action);
		}

		this.#seen = this.harness.actions.length;
	}

	#checkAction(action: Action): void {
		if (action.type === 'start-attempt') {
			this.#checkStart(action);
		}

		if (action.type === 'hand-over') {
			this.#checkHandOver(action.requestId, action.attemptId);
		}

		if (action.type === 'cancel-attempt') {
			this.#checkCancel(action.attemptId);
		}

		if (action.type === 'complete') {
			this.#checkComplete(action.requestId, action.attemptId);
		}

		if (action.type === 'refuse') {
			this.#checkRefusal(action.requestId, action.refusal);
		}
	}

	#checkHandOver(requestId: string, attemptId: AttemptId): void {
		assert(this.#standby.delete(attemptId), 'a request handed over to an attempt that was not on standby');
		assert(this.#openAttemptsOf(requestId).every(({start}) => start.attemptId === attemptId), 'two attempts that may write');
		this.#writers.set(requestId, attemptId);
	}

	#checkCancel(attemptId: AttemptId): void {
		const attempt = this.#attempts.get(attemptId)!;
		assert(this.#route(attempt.start) === 'drafts', 'the attempt of a non-repeatable request was cancelled');
		attempt.outcome = 'may-have-run';
	}

	#checkComplete(requestId: string, attemptId: AttemptId): void {
		assert(this.#attempts.get(attemptId)!.outcome === 'whole', 'completed without a complete answer');
		assert(this.#writers.get(requestId) === attemptId, 'completed by an attempt that may not write');
		assert(this.#openAttemptsOf(requestId).length === 0, 'completed while another attempt runs');
		this.#recordFinalAnswer(requestId, 'complete');
	}

	#checkRefusal(requestId: string, refusal: Refusal): void {
		const outcomes = this.#attemptsOf(requestId).map(({outcome}) => outcome);
		assert(refusal.ran === 'maybe' || outcomes.every(outcome => outcome === 'not-run'), `ran: no after ${outcomes.join(', ')}`);
		assert(!outcomes.includes('open'), 'refused while an attempt runs');
		this.#recordFinalAnswer(requestId, refusal.result);
	}

	#checkStart(start: Start): void {
		const before = this.#attemptsOf(start.requestId);
		const incarnation = `${start.targetId}@${this.harness.targets.get(start.targetId!, this.harness.now)?.announcement.incarnation}`;
		const open = this.#openAttemptsOf(start.requestId).length;
		assert(open <= 1, 'three attempts at once');
		assert(start.standby === (open === 1), 'two attempts that may write');
		assert(!this.#finalAnswers.has(start.requestId), 'an attempt after the final answer');
		assert(start.targetId === undefined || before.every(attempt => attempt.incarnation !== incarnation), 'the same incarnation of a target twice');
		assert(start.forwardTo === undefined || before.every(attempt => attempt.start.forwardTo === undefined), 'the same region twice');
		const repeatable = this.#route(start) === 'drafts';
		assert(repeatable || before.every(({outcome}) => outcome === 'not-run'), 'a second run of a non-repeatable request');
		assert(repeatable || !start.standby, 'two attempts of a non-repeatable request at once');
		if (start.standby) {
			this.#standby.add(start.attemptId);
		} else {
			this.#writers.set(start.requestId, start.attemptId);
		}

		this.#attempts.set(start.attemptId, {start, incarnation, outcome: 'open'});
	}

	#recordFinalAnswer(requestId: string, result: string): void {
		assert(!this.#finalAnswers.has(requestId), 'two final answers');
		this.#finalAnswers.set(requestId, result);
	}

	#route(start: Start): 'drafts' | 'order' {
		return start.claimed ? 'order' : 'drafts';
	}

	#attemptsOf(requestId: string) {
		return [...this.#attempts.values()].filter(({start}) => start.requestId === requestId);
	}

	#openAttemptsOf(requestId: string) {
		return this.#attemptsOf(requestId).filter(({outcome}) => outcome === 'open');
	}
}

function assert(condition: boolean, problem: string): void {
	if (!condition) {
		throw new Error(problem);
	}
}

const steps = fc.array(fc.record({
	what: fc.nat(12), pick: fc.nat(30), notSent: fc.boolean(), passedOn: fc.boolean(),
}), {minLength: 20, maxLength: 120});

test('under any order of events: one attempt at a time that may write, at most one kept beside it, one final answer, no second run, and correct `ran` in refusals', t => {
	fc.assert(fc.property(steps, sequence => {
		const checker = new InvariantChecker();
		for (const step of sequence) {
			checker.step(step);
		}

		checker.finish();
	}), {seed: 20_265, numRuns: 2000});
	t.pass();
});
