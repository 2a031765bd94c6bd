import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';

const targetCount = 8;
const slots = 8;
const waitingCount = 64;
/** Callers that leave within a second: each may have freed capacity. */
const leavingPerSecond = 400;
/** Departures between two ticks. */
const ticksEvery = 40;
/** Decisions on requests that wait, of which each compares a request with all targets of the service. */
const maxDecisionsPerSecond = 2000;

test('an entry whose targets are full compares its waiting requests with them each time that a caller leaves', t => {
	const harness = new CoordinatorHarness({settings: {targetConcurrency: slots}});
	for (let index = 0; index < targetCount; index++) {
		harness.targets.add(`proofer-${index}`);
	}

	for (let sent = 1; sent <= (targetCount * slots) + waitingCount; sent++) {
		harness.request(`r${sent}`);
	}

	const before = harness.router.queries.length;
	for (let left = 1; left <= leavingPerSecond; left++) {
		harness.now = harness.now + (1000 / leavingPerSecond) as Millis;
		// The oldest request is in progress, so that its place becomes free.
		harness.coordinator.handleCallerGone(toId(`r${left}`), harness.now);
		harness.request(`later-${left}`);
		if (left % ticksEvery === 0) {
			harness.coordinator.tick(harness.now);
		}
	}

	const decisions = harness.router.queries.length - before - leavingPerSecond;
	t.true(decisions <= maxDecisionsPerSecond, `${decisions} decisions`);
});
