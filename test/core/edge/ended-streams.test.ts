import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

// Guards against logs that do not tell why an entry ended a stream: a silent target, a standstill of the entry or its stop.
test('the log of a stream that was ended names its events, the silence before it and the standstill within that silence', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'stream', resumable: true, timeoutMs: 20_000}})});
	harness.feed({targets: [listedTargetFixture('a')]});
	harness.request({budgetMs: 20_000});
	const {attempt} = harness.lastStart();
	harness.head(attempt);
	harness.step({
		type: 'attempt-events', attempt, count: 3, lastId: '3',
	});
	harness.run(300);
	harness.now += 2000;
	harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
	const fields = (name: string) => harness.actions.findLast(action => action.type === 'event' && action.event === name);
	t.like(fields('attempt-failed'), {
		fields: {
			events: 3, passedEvents: 3, silentMs: 2300, stoodStillMs: 1800,
		},
	});
	t.like(fields('refused'), {fields: {passing: true, passedEvents: 3, lastFailure: 'reset'}});
});
