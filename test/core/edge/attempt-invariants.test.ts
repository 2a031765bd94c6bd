import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {EdgeAction} from '../../../src/core/edge/edge-action.ts';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

type Start = EdgeAction & {type: 'start'};

type Attempt = {
	readonly start: Start;
	readonly request: Request;
	/** Id of the last event that it has brought. */
	lastId: number;
	state: 'open' | 'head' | 'ended' | 'cancelled';
	/** False once it is known that it has not run. */
	mayHaveRun: boolean;
	/** False once it is known that it has reached no target. */
	arrived: boolean;
	passing: boolean;
};

type Request = {
	/** Id of the last event that the caller has. */
	lastId: number;
	readonly attempts: Attempt[];
	answers: number;
	isGone: boolean;
	/** True if another entry has forwarded it, which keeps the further attempts of its route. */
	readonly isForwarded: boolean;
};

const budgetMs = 20_000;
const stepsPerRun = 120;
const runsPerRoute = 30;
/** Ends every stream. */
const lastEvent = 8;
const names = ['p', 'q', 'r', 's', 't'];

/** Brings random events to an entry and checks what it does about each of them, as its callers and targets see it. */
class RandomEntry {
	readonly #harness: EdgeHarness;
	readonly #random: SeededRandom;
	readonly #route: Partial<RouteRule>;
	readonly #requests = new Map<RequestId, Request>();
	readonly #attempts = new Map<AttemptNumber, Attempt>();
	#seen = 0;
	#hasShut = false;

	constructor(route: Partial<RouteRule>, seed: number) {
		this.#route = route;
		this.#random = new SeededRandom(seed);
		this.#harness = new EdgeHarness({document: routesDocumentFixture({route: {timeoutMs: budgetMs, ...route}})});
		this.#feed(names);
	}

	/** One random event. */
	step(): void {
		const choices: ReadonlyArray<() => void> = [
			() => {
				this.#request();
			},
			() => {
				this.#head();
			},
			() => {
				this.#head();
			},
			() => {
				this.#events(1 + this.#pick(2));
			},
			() => {
				this.#events(1 + this.#pick(2));
			},
			() => {
				// A comment, as servers send to keep a connection open.
				this.#events(0);
			},
			() => {
				this.#end();
			},
			() => {
				this.#fail();
			},
			() => {
				this.#harness.run(50 * (1 + this.#pick(10)));
			},
			() => {
				this.#harness.run(500 * (1 + this.#pick(5)));
			},
			() => {
				this.#rare();
			},
		];
		choices[this.#pick(choices.length)]!();
		this.#check();
	}

	/** Lets what is left come to its end, or ends the entry, and checks that nothing remains. */
	finish(): void {
		this.#feed(names);
		if (this.#pick(2) === 0) {
			this.#harness.step({type: 'end'});
		} else {
			this.#harness.run(2 * budgetMs);
		}

		this.#check();
		assert(this.#harness.core.inFlight === 0, 'a request is in flight');
		const {loads} = this.#harness.core.status(this.#harness.now as never);
		assert(loads.every(({inFlight}) => inFlight === 0), 'an attempt counts at its target');
		for (const [id, {answers, isGone}] of this.#requests) {
			assert(answers === (isGone ? 0 : 1), `${id} got ${answers} answers`);
		}

		const charged = this.#harness.actions.filter(action => action.type === 'event' && action.event === 'retry-charged').length;
		const repeats = [...this.#requests.values()].map(({attempts}) => Math.max(0, attempts.filter(({arrived}) => arrived).length - 1));
		const repeated = repeats.reduce((sum, count) => sum + count, 0);
		assert(repeated <= charged, `${repeated} repeats reached targets, ${charged} were charged`);
	}

	#request(): void {
		const isForwarded = this.#pick(4) === 0;
		this.#requests.set(toId(`r${this.#requests.size + 1}`), {
			lastId: 0, attempts: [], answers: 0, isGone: false, isForwarded,
		});
		const region = toId<Region>(this.#pick(2) === 0 ? 'regina' : 'winnipeg');
		this.#harness.request({budgetMs, ...isForwarded && {forwarded: {region, documentVersion: 1}}});
	}

	#head(): void {
		const attempt = this.#choose(({state}) => state === 'open');
		if (attempt === undefined) {
			return;
		}

		const {start} = attempt;
		const kind = this.#pick(10);
		if (kind === 0) {
			const reachedTarget = this.#pick(2) === 0;
			attempt.state = 'ended';
			attempt.mayHaveRun = false;
			attempt.arrived = start.targetId !== undefined || reachedTarget;
			this.#harness.head(start.attempt, {
				status: 503, notRun: true, signed: false, eventStream: false, ...start.targetId === undefined && {refusedBy: 'entry', reachedTarget},
			});
			return;
		}

		attempt.state = 'head';
		this.#harness.head(start.attempt, kind === 1 ? {status: 500, eventStream: false} : {eventStream: start.stream && kind > 2});
	}

	#events(count: number): void {
		const attempt = this.#choose(({passing, state}) => passing && state === 'head');
		if (attempt === undefined) {
			return;
		}

		const {request, start} = attempt;
		const brought = Math.min(count, lastEvent - attempt.lastId);
		if (brought > 0) {
			assert(attempt.lastId === request.lastId, `event ${attempt.lastId + 1} follows event ${request.lastId}`);
			attempt.lastId += brought;
			request.lastId = attempt.lastId;
		}

		const event: EdgeEvent = {
			type: 'attempt-events', attempt: start.attempt, count: brought, ...brought > 0 && {lastId: String(attempt.lastId)},
		};
		this.#harness.step(event);
		this.#check();
		const others = request.attempts.filter(other => other !== attempt && isInProgress(other));
		assert(brought === 0 || others.length === 0, `another attempt goes on after event ${request.lastId}`);
	}

	#end(): void {
		const attempt = this.#choose(({state}) => state === 'head');
		if (attempt === undefined) {
			return;
		}

		attempt.state = 'ended';
		const truncated = attempt.passing ? attempt.lastId < lastEvent : this.#pick(4) === 0;
		this.#harness.step({type: 'attempt-end', attempt: attempt.start.attempt, truncated});
	}

	#fail(): void {
		const attempt = this.#choose(isInProgress);
		if (attempt === undefined) {
			return;
		}

		const notSent = attempt.state === 'open' && this.#pick(2) === 0;
		attempt.state = 'ended';
		attempt.mayHaveRun = !notSent;
		attempt.arrived = !notSent;
		this.#harness.step({type: 'attempt-failed', attempt: attempt.start.attempt, failure: {reason: notSent ? 'connect' : 'reset', notSent}});
	}

	#rare(): void {
		switch (this.#pick(6)) {
			case 0: {
				this.#harness.now += 1000 * this.#pick(4);
				this.#harness.step({type: 'tick'});
				break;
			}

			case 1: {
				const open = [...this.#requests].filter(([, {answers, isGone}]) => answers === 0 && !isGone);
				const [requestId, request] = open[this.#pick(open.length)] ?? [];
				if (requestId !== undefined) {
					request!.isGone = true;
					this.#harness.step({type: 'caller-gone', requestId});
				}

				break;
			}

			case 2: {
				this.#harness.step({type: 'probe-result', targetId: toId(names[this.#pick(names.length)]!), reachable: this.#pick(2) === 0});
				break;
			}

			case 3: {
				if (this.#pick(8) === 0 && !this.#hasShut) {
					this.#hasShut = true;
					this.#harness.step({type: 'drain', answerMs: 7300});
					this.#harness.run(2500);
					this.#check();
					this.#harness.step({type: 'shut'});
				}

				break;
			}

			default: {
				this.#feed(names.filter(() => this.#pick(4) > 0));
			}
		}
	}

	#feed(targets: readonly string[]): void {
		const region = regionLoadFixture('winnipeg', '10.3.0.9:7101');
		this.#harness.feed({
			targets: targets.map(name => listedTargetFixture(name)),
			regions: this.#pick(2) === 0 ? [] : [{...region, loads: region.loads.map(load => ({...load, softwareVersions: [toId<SoftwareVersion>('v1')]}))}],
		});
	}

	/** Takes the entry's new actions as its server would, and checks each of them. */
	#check(): void {
		const {actions} = this.#harness;
		for (const action of actions.slice(this.#seen)) {
			switch (action.type) {
				case 'start': {
					this.#recordStart(action);
					break;
				}

				case 'cancel':
				case 'pass':
				case 'complete': {
					this.#recordAction(this.#attempts.get(action.attempt)!, action.type);
					break;
				}

				case 'refuse': {
					const request = this.#requests.get(action.requestId)!;
					const mayHaveRun = request.attempts.some(attempt => attempt.mayHaveRun);
					assert(!mayHaveRun || action.refusal.ran === 'maybe', 'a request that may have run is refused as not run');
					recordAnswer(request);
					break;
				}

				case 'append':
				case 'count':
				case 'document':
				case 'drained':
				case 'event':
				case 'log':
				case 'probe':
				case 'rewrite':
				case 'send': {
					break;
				}
			}
		}

		this.#seen = actions.length;
		for (const {attempts, isGone} of this.#requests.values()) {
			assert(!isGone || !attempts.some(attempt => isInProgress(attempt)), 'an attempt goes on without its caller');
		}
	}

	#recordAction(attempt: Attempt, type: 'cancel' | 'pass' | 'complete'): void {
		const {state, passing, request} = attempt;
		if (type === 'cancel') {
			assert(state !== 'cancelled', 'an attempt is cancelled twice');
			attempt.state = 'cancelled';
		} else if (type === 'pass') {
			assert(state === 'head', 'the head of an attempt that has ended is passed');
			attempt.passing = true;
		} else {
			assert(state === 'ended', 'an attempt that has not ended completes its request');
			assert(!passing || request.lastId === lastEvent, `a stream is complete after event ${request.lastId}`);
			recordAnswer(request);
		}
	}

	#recordStart(start: Start): void {
		const request = this.#requests.get(start.requestId)!;
		const {attempts, lastId, isForwarded} = request;
		const limit = isForwarded ? 1 : this.#route.attempts!;
		const mayRepeat = this.#route.kind === 'safe' || (this.#route.kind === 'stream' && this.#route.resumable === true);
		assert(request.answers === 0 && !request.isGone, 'an attempt starts after the end of its request');
		assert(start.resumeAfter === (lastId === 0 ? undefined : String(lastId)), 'an attempt resumes at another event than the caller\'s last one');
		assert(!attempts.some(attempt => isInProgress(attempt) && attempt.start.targetId !== undefined && attempt.start.targetId === start.targetId), 'a target gets a request that it still runs');
		const attempt: Attempt = {
			start, request, lastId, state: 'open', mayHaveRun: true, arrived: true, passing: false,
		};
		attempts.push(attempt);
		this.#attempts.set(start.attempt, attempt);
		const inProgress = attempts.filter(other => isInProgress(other));
		assert(inProgress.length <= (mayRepeat ? limit : 1), `${inProgress.length} attempts are in progress`);
		const destinations = new Set(attempts.filter(({mayHaveRun}) => mayHaveRun).map(({start: {targetId, attempt}}) => targetId ?? attempt));
		assert(destinations.size <= (mayRepeat ? limit : 1), `a request may have run on ${destinations.size} targets`);
	}

	#choose(filter: (attempt: Attempt) => boolean): Attempt | undefined {
		const attempts = [...this.#attempts.values()].filter(attempt => isInProgress(attempt) && filter(attempt));
		return attempts[this.#pick(attempts.length)];
	}

	#pick(count: number): number {
		return Math.floor(this.#random.next() * count);
	}
}

function isInProgress({state}: Attempt): boolean {
	return state === 'open' || state === 'head';
}

function recordAnswer(request: Request): void {
	request.answers += 1;
	assert(request.answers === 1 && !request.isGone, 'a request has a second end');
	assert(!request.attempts.some(attempt => isInProgress(attempt)), 'an attempt goes on after the end of its request');
}

function assert(condition: boolean, message: string): void {
	if (!condition) {
		throw new Error(message);
	}
}

const routes: Readonly<Record<string, Partial<RouteRule>>> = {
	'streams that may be resumed, on 2 targets': {kind: 'stream', resumable: true, attempts: 2},
	'streams that may be resumed, on 3 targets': {kind: 'stream', resumable: true, attempts: 3},
	'streams that may not be resumed': {kind: 'stream', resumable: false, attempts: 3},
	'safe calls': {kind: 'safe', attempts: 3},
	'unsafe calls': {kind: 'unsafe', attempts: 3},
};

for (const [title, route] of Object.entries(routes)) {
	// Guards against attempts that outlive their successors, run on too many targets or write beside each other.
	test(`attempts keep to the rules under any order of events: ${title}`, t => {
		for (let seed = 1; seed <= runsPerRoute; seed++) {
			const entry = new RandomEntry(route, seed);
			t.notThrows(() => {
				for (let step = 0; step < stepsPerRun; step++) {
					entry.step();
				}

				entry.finish();
			}, `seed ${seed}`);
		}
	});
}
