import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const route = {
	kind: 'safe', timeoutMs: 30_000, objectiveMs: 400, attempts: 3,
} as const;

/** An entry with two full targets, and `waiting` requests that wait. */
function fullEntry(waiting: number): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({route}), slack: 1000});
	harness.feed({targets: [listedTargetFixture('d'), listedTargetFixture('e')]});
	for (let sent = -1; sent < harness.starts().length;) {
		sent = harness.starts().length;
		harness.request({budgetMs: 30_000});
	}

	for (let more = 1; more < waiting; more++) {
		harness.request({budgetMs: 30_000});
	}

	return harness;
}

test('a request that a target may have run is retried into a full service, before requests that have not run', t => {
	const harness = fullEntry(3);
	const {attempt, requestId} = harness.starts()[0]!;
	harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
	t.is(harness.starts().filter(start => start.requestId === requestId).length, 1);
	const refusals = harness.actions.filter(action => action.type === 'refuse');
	t.deepEqual(refusals.map(({refusal: {reason, ran}}) => ({reason, ran})), [{reason: 'target-failed', ran: 'maybe'}]);
});
