import test from 'ava';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {PlacementPolicy} from '../../../src/core/edge/placement-policy.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const targetCount = 8;
const waitingCount = 64;
const busyMs = 1000;
/** Callers that leave a second: each may have freed capacity. */
const leavingPerSecond = 400;
/** Departures between two ticks. */
const ticksEvery = 20;
/** Decisions on requests that wait, of which each compares a request with all targets of the region. */
const maxDecisionsPerSecond = 2000;

/** An entry with full targets and requests that wait, with a count of its placement decisions. */
function crowdedEntry(t: {teardown: (undo: () => void) => void}) {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {timeoutMs: 60_000, objectiveMs: 20_000}})});
	harness.feed({targets: Array.from({length: targetCount}, (_, index) => listedTargetFixture(`d${index}`))});
	const count = {decisions: 0};
	const {decide} = PlacementPolicy.prototype;
	PlacementPolicy.prototype.decide = function (...args) {
		count.decisions += 1;
		return decide.apply(this, args);
	};

	t.teardown(() => {
		PlacementPolicy.prototype.decide = decide;
	});
	const startsBefore = () => harness.starts().length;
	for (let sent = -1; sent < startsBefore();) {
		sent = startsBefore();
		harness.request({budgetMs: 60_000});
	}

	for (let waiting = 1; waiting < waitingCount; waiting++) {
		harness.request({budgetMs: 60_000});
	}

	return {harness, count};
}

test.serial('an entry whose targets are full compares its waiting requests with them each time that a caller leaves', t => {
	const {harness, count} = crowdedEntry(t);
	count.decisions = 0;
	for (let left = 1; left <= leavingPerSecond; left++) {
		harness.now += busyMs / leavingPerSecond;
		if (left % ticksEvery === 0) {
			harness.step({type: 'tick'});
		}

		// The oldest request is in progress, so that its place becomes free.
		harness.step({type: 'caller-gone', requestId: toId(`r${left}`)});
		harness.request({budgetMs: 60_000});
	}

	t.true(count.decisions - leavingPerSecond <= maxDecisionsPerSecond, `${count.decisions} decisions`);
});

test.serial('a request that waits is placed at once when capacity is freed, and within 150 ms if that happens all the time', t => {
	const {harness} = crowdedEntry(t);
	harness.run(500);
	const started = harness.starts().length;
	harness.head(1 as AttemptNumber, {eventStream: false});
	harness.step({type: 'attempt-end', attempt: 1 as AttemptNumber, truncated: false});
	t.is(harness.starts().length, started + 1);
	for (let left = 0; left < 100; left++) {
		harness.step({type: 'caller-gone', requestId: toId('r1')});
	}

	for (let attempt = 2; attempt < 12; attempt++) {
		harness.head(attempt as AttemptNumber, {eventStream: false});
		harness.step({type: 'attempt-end', attempt: attempt as AttemptNumber, truncated: false});
	}

	harness.run(150);
	t.is(harness.starts().length, started + 11);
});
