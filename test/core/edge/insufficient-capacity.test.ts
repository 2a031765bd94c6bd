import test from 'ava';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const slots = 6;
const callMs = 100;
const capacityPerSecond = slots * 1000 / callMs;
const budgetMs = 2500;
const stepMs = 5;

type Outcome = {readonly arrivedAt: number; endedAt?: number; served?: boolean; retryAfterMs?: number};

/** An entry in front of one target with six slots, which serves its calls in order of arrival. */
class BusyEntry {
	readonly outcomes = new Map<string, Outcome>();
	readonly harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'safe', timeoutMs: budgetMs, objectiveMs: 500}})});
	/** Requests by attempt, in order of their arrival at the target, and the ends of those that run. */
	readonly #atTarget: Array<{readonly attempt: AttemptNumber; readonly requestId: string; endsAt?: number}> = [];
	#handled = 0;

	constructor() {
		this.harness.feed({targets: [listedTargetFixture('d')]});
	}

	/** Sends `perSecond` requests for `ms` milliseconds. */
	run(perSecond: number, ms: number): void {
		const until = this.harness.now + ms;
		let due = 0;
		while (this.harness.now < until) {
			this.harness.now += stepMs;
			due += perSecond * stepMs / 1000;
			for (; due >= 1; due--) {
				const requestId = `r${this.outcomes.size + 1}`;
				this.outcomes.set(requestId, {arrivedAt: this.harness.now});
				this.harness.request({budgetMs});
			}

			if (this.harness.now % 50 < stepMs) {
				this.harness.step({type: 'tick'});
			}

			this.#serve();
		}
	}

	/** Outcomes of requests that arrived between `fromMs` and `untilMs` milliseconds ago. */
	between(fromMs: number, untilMs: number): readonly Outcome[] {
		const {now} = this.harness;
		return [...this.outcomes.values()].filter(({arrivedAt}) => arrivedAt > now - fromMs && arrivedAt <= now - untilMs);
	}

	#serve(): void {
		this.#take();
		for (const call of this.#atTarget.slice(0, slots)) {
			call.endsAt ??= this.harness.now + callMs;
		}

		for (const call of this.#atTarget.filter(({endsAt}) => endsAt !== undefined && endsAt <= this.harness.now)) {
			this.#atTarget.splice(this.#atTarget.indexOf(call), 1);
			this.harness.head(call.attempt, {eventStream: false, load: {running: Math.min(slots, this.#atTarget.length), waiting: Math.max(0, this.#atTarget.length - slots), slots}});
			this.harness.step({type: 'attempt-end', attempt: call.attempt, truncated: false});
			this.#take();
		}
	}

	/** Takes what the entry has sent and answered. */
	#take(): void {
		const {actions, now} = this.harness;
		for (const action of actions.slice(this.#handled)) {
			if (action.type === 'start') {
				this.#atTarget.push({attempt: action.attempt, requestId: action.requestId});
			} else if (action.type === 'complete') {
				Object.assign(this.outcomes.get(action.requestId)!, {endedAt: now, served: true});
			} else if (action.type === 'refuse') {
				Object.assign(this.outcomes.get(action.requestId)!, {endedAt: now, served: false, retryAfterMs: action.refusal.retryAfterMs});
			} else if (action.type === 'cancel') {
				const position = this.#atTarget.findIndex(({attempt}) => attempt === action.attempt);
				this.#atTarget.splice(position, position === -1 ? 0 : 1);
			}
		}

		this.#handled = actions.length;
	}
}

test('requests that cannot be served in time are held until their deadline', t => {
	const entry = new BusyEntry();
	entry.run(capacityPerSecond * 0.8, 3000);
	t.true([...entry.outcomes.values()].every(({served}) => served !== false));
	const servedBy = (outcomes: readonly Outcome[]) => outcomes.filter(({served}) => served).length;
	entry.run(capacityPerSecond, 6000);
	const servedAtCapacity = servedBy(entry.between(5000, 1000));
	entry.run(capacityPerSecond * 2.8, 10_000);
	const outcomes = entry.between(7000, 3000);
	const failed = outcomes.filter(({served}) => served !== true);
	const ages = failed.map(({arrivedAt, endedAt = Number.POSITIVE_INFINITY}) => endedAt - arrivedAt).sort((left, right) => left - right);
	t.true(failed.length > outcomes.length / 2);
	t.true(ages[Math.floor(ages.length / 2)]! <= 50, `median age of refusals ${ages[Math.floor(ages.length / 2)]} ms`);
	t.true(ages.filter(age => age > budgetMs - 100).length <= ages.length * 0.02);
	t.true(servedBy(outcomes) >= 0.9 * servedAtCapacity, `${servedBy(outcomes)} served, ${servedAtCapacity} at load 1`);
});

test('an entry still refuses requests two seconds after a burst', t => {
	const entry = new BusyEntry();
	entry.run(capacityPerSecond * 0.8, 2000);
	entry.run(capacityPerSecond * 2.8, 3000);
	entry.run(capacityPerSecond * 0.5, 6000);
	const outcomes = entry.between(4000, 500);
	t.true(outcomes.every(({served, arrivedAt, endedAt}) => served === true && endedAt! - arrivedAt <= 500));
});
